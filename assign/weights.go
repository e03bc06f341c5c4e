package assign

import "github.com/jasminelock/jasminelock/catalog"

// weights are the weights of the organisations that wait for a service: their configured rates, relative to the mean,
// if all of them have one, else 1.
type weights struct {
	config  *catalog.Config
	waiting map[string]int
	// rates is the sum of the configured rates; unrated counts the organisations without one.
	rates   float64
	unrated int
}

func newWeights(c *catalog.Config) weights { return weights{config: c, waiting: map[string]int{}} }

func (w *weights) configured(organisation string) float64 {
	if o := w.config.Organisation(organisation); o != nil {
		return max(o.TokensPerSecond, 0)
	}
	return 0
}

func (w *weights) add(organisation string) {
	w.waiting[organisation]++
	if w.waiting[organisation] == 1 {
		w.count(organisation, 1)
	}
}

func (w *weights) remove(organisation string) {
	w.waiting[organisation]--
	if w.waiting[organisation] == 0 {
		delete(w.waiting, organisation)
		w.count(organisation, -1)
	}
}

func (w *weights) count(organisation string, n int) {
	rate := w.configured(organisation)
	w.rates += float64(n) * rate
	if rate == 0 {
		w.unrated += n
	}
}

// configure applies a new configuration.
func (w *weights) configure(c *catalog.Config) {
	w.config, w.rates, w.unrated = c, 0, 0
	for organisation := range w.waiting {
		w.count(organisation, 1)
	}
}

// of returns the weight of an organisation.
func (w *weights) of(organisation string) float64 {
	rate, scale := w.configured(organisation), w.scale()
	if scale == 0 || rate == 0 {
		return 1
	}
	return rate * scale
}

// scale returns the weight per configured rate, 0 if all weights are 1.
func (w *weights) scale() float64 {
	if w.unrated > 0 || len(w.waiting) == 0 || w.rates <= 0 {
		return 0
	}
	return float64(len(w.waiting)) / w.rates
}
