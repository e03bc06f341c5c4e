package throttle

import "time"

// maxLimits bounds the number of limits in a Table. It exceeds the number of upstreams at the
// design scale.
const maxLimits = 4096

// Table holds the limits that a host knows. It is not safe for concurrent use.
type Table struct{ limits map[Incarnation]*Limit }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{limits: map[Incarnation]*Limit{}} }

// Get returns the limit of an upstream, and false if it has none.
func (t *Table) Get(key Incarnation) (Limit, bool) {
	l, ok := t.limits[key]
	if !ok {
		return Limit{}, false
	}
	return *l, true
}

// Len returns the number of limits.
func (t *Table) Len() int { return len(t.limits) }

// Each calls f for each limit, in unspecified order. f may change the table.
func (t *Table) Each(f func(key Incarnation, l Limit)) {
	for key, l := range t.limits {
		f(key, *l)
	}
}

// Set records a limit that a response has stated, and reports whether that changes the table
// otherwise than by the time. The leader has yet to confirm a change.
func (t *Table) Set(now time.Time, key Incarnation, perSecond float64) bool {
	if l, ok := t.limits[key]; ok && l.PerSecond == perSecond && l.WithdrawnAt.IsZero() {
		l.HeardAt = now
		return false
	}
	t.Put(key, Limit{PerSecond: perSecond, HeardAt: now})
	return true
}

// Outdated reports whether a response without a limit, to a request sent at sentAt, shows that the
// limit of an upstream no longer holds. The response may be older than the limit if the request was
// sent before the host heard of it.
func (t *Table) Outdated(key Incarnation, sentAt time.Time) bool {
	l, ok := t.limits[key]
	return ok && l.WithdrawnAt.IsZero() && sentAt.After(l.HeardAt)
}

// Withdraw records that a limit no longer holds. It ends after RecoveryTime.
func (t *Table) Withdraw(now time.Time, key Incarnation, version uint64) {
	if l, ok := t.limits[key]; ok {
		l.WithdrawnAt, l.Version = now, version
	}
}

// Put records a limit as it is. Beyond maxLimits, the one that was heard of first is dropped.
func (t *Table) Put(key Incarnation, l Limit) {
	if _, ok := t.limits[key]; !ok && len(t.limits) >= maxLimits {
		oldest := key
		for other, limit := range t.limits {
			if oldest == key || limit.HeardAt.Before(t.limits[oldest].HeardAt) {
				oldest = other
			}
		}
		delete(t.limits, oldest)
	}
	t.limits[key] = &l
}

// Remove removes a limit.
func (t *Table) Remove(key Incarnation) { delete(t.limits, key) }
