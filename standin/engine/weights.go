package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/settings"
)

// simulatedWeights waits for as long as reading the weights would take.
type simulatedWeights struct{ duration time.Duration }

// Load implements WeightSource.
func (w simulatedWeights) Load(ctx context.Context, _ string) error {
	sleep(ctx, w.duration)
	return ctx.Err()
}

// remoteWeights reads the weights from the platform's weight store, which limits
// the rate, and discards them.
type remoteWeights struct {
	address string // host:port of the platform
	vm      string
}

// Load implements WeightSource.
func (w remoteWeights) Load(ctx context.Context, model string) error {
	from := "http://" + w.address + "/v1/weights/" + url.PathEscape(model)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, from, nil)
	if err != nil {
		return eris.Wrapf(err, "read weights from %s", w.address)
	}
	req.Header.Set("X-Vm", w.vm)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "read weights from %s", w.address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("read weights from %s: status %d", w.address, resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return eris.Wrapf(err, "read weights from %s", w.address)
	}
	return nil
}

func newWeightSource(s Settings, vm string) WeightSource {
	if s.WeightStore != "" {
		return remoteWeights{address: s.WeightStore, vm: vm}
	}
	seconds := float64(s.WeightBytes) / float64(s.WeightBytesPerSecond)
	return simulatedWeights{duration: s.scaled(settings.Duration(seconds * float64(time.Second)))}
}
