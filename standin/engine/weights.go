package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// readWeights waits for the duration of a load: the fetch from the weight store, if
// one is set, then the engine's own load time.
func (e *Engine) readWeights(r *http.Request, order loraOrder) error {
	if e.settings.WeightStore != "" {
		if err := e.fetchWeights(r, order.Path); err != nil {
			return err
		}
	}
	time.Sleep(e.settings.LoadTime + e.currentFaults().LoadDelay)
	return nil
}

func (e *Engine) fetchWeights(r *http.Request, source string) error {
	address := e.settings.WeightStore + "/weights/" + url.PathEscape(source) + "/data"
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", resp.StatusCode)
	}
	return nil
}
