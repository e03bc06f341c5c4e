package quarantine

import (
	"crypto/sha256"
	"time"
)

// Part identifies a part of prompts, whichever organisation uses it.
type Part [16]byte

// partMarker begins the keys of parts. It tells them from the keys of requests, which are hashes.
var partMarker = [4]byte{'p', 'a', 'r', 't'}

// PartOf returns the identifier of the part with the given ID.
func PartOf(id string) Part {
	h := sha256.Sum256([]byte(id))
	return Part(h[:len(Part{})])
}

// Key returns the key under which the requests of an organisation with the part are counted.
func (p Part) Key(organisation string) Key {
	k := p.AnyOrganisation()
	h := sha256.Sum256([]byte(organisation))
	copy(k[len(partMarker)+len(p):], h[:])
	return k
}

// AnyOrganisation returns the key under which the part is refused to all organisations.
func (p Part) AnyOrganisation() Key {
	var k Key
	copy(k[:], partMarker[:])
	copy(k[len(partMarker):], p[:])
	return k
}

// Part returns the part that a key stands for, and false for the key of a request.
func (k Key) Part() (Part, bool) {
	if [4]byte(k[:len(partMarker)]) != partMarker {
		return Part{}, false
	}
	return Part(k[len(partMarker) : len(partMarker)+len(Part{})]), true
}

// maxSuccesses limits the number of parts in each generation of a successTable.
const maxSuccesses = 8192

// successTable holds the time of the last success of the parts that were used most recently, in two generations.
type successTable struct {
	current, previous map[Part]time.Time
}

func (t *successTable) put(p Part, at time.Time) {
	if t.current == nil || len(t.current) >= maxSuccesses {
		t.current, t.previous = map[Part]time.Time{}, t.current
	}
	t.current[p] = at
}

// get returns the time of the part's last success, zero if none is known.
func (t *successTable) get(p Part) time.Time {
	if at, ok := t.current[p]; ok {
		return at
	}
	return t.previous[p]
}
