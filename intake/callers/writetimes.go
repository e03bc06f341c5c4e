package callers

import "time"

const (
	// writeWindow is the least time over which the writes to a caller are compared with the time that passes.
	writeWindow = time.Second
	// slowWriteShare is the share of that time which writes take if the caller is slow to read.
	slowWriteShare = 0.5
	// slowCallerBlame is the time after slow writes in which the caller counts as the reason for the end of a response. What
	// the upstream had sent before it gave up is read in this time.
	slowCallerBlame = 2 * time.Second
)

// WriteTimes tells whether a caller is slow to read its response, from the durations of the writes to it. While a write lasts,
// nothing is read from the upstream.
type WriteTimes struct {
	// begun is the begin of the current window, writing the duration of the writes in it.
	begun   time.Time
	writing time.Duration
	// slowAt is the end of the last window in which the caller was slow, zero for none.
	slowAt time.Time
}

// Record adds a write.
func (w *WriteTimes) Record(begun, ended time.Time) {
	if w.begun.IsZero() {
		w.begun = begun
	}
	w.writing += ended.Sub(begun)
	window := ended.Sub(w.begun)
	if window < writeWindow {
		return
	}
	if float64(w.writing) >= slowWriteShare*float64(window) {
		w.slowAt = ended
	}
	w.begun, w.writing = ended, 0
}

// CallerIsSlow reports whether the caller was slow to read a short time ago, so that an upstream may have given up a response
// that was not read.
func (w *WriteTimes) CallerIsSlow(now time.Time) bool {
	return !w.slowAt.IsZero() && now.Sub(w.slowAt) < slowCallerBlame
}
