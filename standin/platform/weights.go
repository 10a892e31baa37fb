package platform

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"buckthornridge/store"
	"buckthornridge/store/wire"
)

// weightChunk is the size of one write and the burst of the rate limiter, in bytes.
const weightChunk = 64 << 10

var zeroChunk = make([]byte, weightChunk)

// newWeightLimiter returns the rate limiter that all downloads share.
func newWeightLimiter(bytesPerSecond int64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunk)
}

func (s *Server) listWeights(w http.ResponseWriter, r *http.Request) {
	weights, bytesPerSecond, err := s.servicesFor(r).Weights.Weights(r.Context())
	writeResult(w, wire.WeightsResponse{Weights: weights, BytesPerSecond: bytesPerSecond}, err)
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	weights, _, err := s.servicesFor(r).Weights.Weights(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	model := r.PathValue("model")
	index := slices.IndexFunc(weights, func(weight store.Weight) bool { return weight.Model == model })
	if index < 0 {
		writeError(w, eris.Wrapf(store.ErrNotFound, "weights of %q", model))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(weights[index].Bytes, 10))
	s.sendWeights(w, r, weights[index].Bytes)
}

// sendWeights sends the remaining bytes as zeros at the shared rate. It stops early
// if the client disconnects.
func (s *Server) sendWeights(w http.ResponseWriter, r *http.Request, remaining int64) {
	for remaining > 0 {
		chunk := zeroChunk[:min(remaining, weightChunk)]
		if s.weightLimiter.WaitN(r.Context(), len(chunk)) != nil {
			return
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
		remaining -= int64(len(chunk))
	}
}
