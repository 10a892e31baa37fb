package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// simulatedWeights takes the time that reading so many bytes would take.
type simulatedWeights struct{ duration time.Duration }

// Load implements WeightSource.
func (w simulatedWeights) Load(ctx context.Context, _ string) error {
	sleep(ctx, w.duration)
	return ctx.Err()
}

// storedWeights reads the bytes of the platform's weight store, which limits
// their rate, and throws them away.
type storedWeights struct {
	base string // URL
	vm   string
}

// Load implements WeightSource.
func (w storedWeights) Load(ctx context.Context, model string) error {
	address := w.base + "/v1/weights/" + url.PathEscape(model)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return eris.Wrapf(err, "weights %s", w.base)
	}
	req.Header.Set("X-Vm", w.vm)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "weights %s", w.base)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("weights %s: status %d", w.base, resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return eris.Wrapf(err, "weights %s", w.base)
	}
	return nil
}

func newWeightSource(s Settings, vm string) WeightSource {
	if s.WeightStore != "" {
		return storedWeights{base: s.WeightStore, vm: vm}
	}
	return simulatedWeights{duration: s.scaled(s.WeightBytes / s.WeightBytesPerSecond * 1000)}
}
