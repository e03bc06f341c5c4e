package store

import (
	"net/http"
	"strconv"
)

// HeaderEra is the header that states the era of a response. Responses without it are of era 0.
const HeaderEra = "Store-Era"

// EraReporter is implemented by table services that state the era of their responses.
type EraReporter interface {
	// Era returns the highest era seen. Responses of an older era are not returned, so that a call which began and ended
	// at the same value of Era was answered in that era.
	Era() int64
}

// CurrentEra returns the highest era seen of a table service, 0 if it states none.
func CurrentEra(t TableService) int64 {
	if r, ok := t.(EraReporter); ok {
		return r.Era()
	}
	return 0
}

// eraOfHeader returns the era that a response states, 0 if it states none or an invalid one.
func eraOfHeader(h http.Header) int64 {
	era, err := strconv.ParseInt(h.Get(HeaderEra), 10, 64)
	if err != nil || era < 0 || era > MaxEra {
		return 0
	}
	return era
}
