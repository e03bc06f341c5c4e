package spread

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminelock/jasminelock/wire"
)

// Sizes of the archive.
const (
	// archiveBuckets is the number of buckets over which the records are distributed
	// by hash. A change rewrites only the buckets of its records.
	archiveBuckets = 256
	// maxBucketBytes bounds the decompressed size of a bucket, so that malicious data
	// cannot exhaust memory.
	maxBucketBytes = 64 << 20
)

// archive holds every record as it was written, compressed. From it, a host without
// state receives all records, including fields that this version does not know.
type archive struct {
	buckets [archiveBuckets][]byte
}

func bucketIndex(kind, name string) int {
	return int(xxhash.Sum64String(kind+"/"+name) % archiveBuckets)
}

// put adds, replaces or deletes records.
func (a *archive) put(records []wire.ConfigRecord) error {
	var byBucket [archiveBuckets][]wire.ConfigRecord
	for _, r := range records {
		b := bucketIndex(r.Kind, r.Name)
		byBucket[b] = append(byBucket[b], r)
	}
	for b, changes := range byBucket {
		if len(changes) == 0 {
			continue
		}
		if err := a.putBucket(b, changes); err != nil {
			return err
		}
	}
	return nil
}

func (a *archive) putBucket(b int, changes []wire.ConfigRecord) error {
	old, err := unpack(a.buckets[b])
	if err != nil {
		return err
	}
	byName := make(map[string]wire.ConfigRecord, len(old)+len(changes))
	for _, r := range old {
		byName[r.Kind+"/"+r.Name] = r
	}
	for _, r := range changes {
		if r.Deleted {
			delete(byName, r.Kind+"/"+r.Name)
			continue
		}
		byName[r.Kind+"/"+r.Name] = r
	}
	next := make([]wire.ConfigRecord, 0, len(byName))
	for _, r := range byName {
		next = append(next, r)
	}
	slices.SortFunc(next, func(x, y wire.ConfigRecord) int {
		return strings.Compare(x.Kind+"/"+x.Name, y.Kind+"/"+y.Name)
	})
	a.buckets[b], err = pack(next)
	return err
}

// bytes returns the compressed size of the archive.
func (a *archive) bytes() int {
	n := 0
	for _, b := range a.buckets {
		n += len(b)
	}
	return n
}

// flateWriters pools writers, since allocating one takes a lot of memory.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return w
}}

// pack encodes and compresses records.
func pack(records []wire.ConfigRecord) ([]byte, error) {
	raw, err := wire.EncodeRecords(records)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

var errTooLarge = errors.New("spread: decompressed bucket exceeds 64 MiB")

// unpack reverses pack. Empty input gives no records.
func unpack(packed []byte) ([]wire.ConfigRecord, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBucketBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxBucketBytes {
		return nil, errTooLarge
	}
	return wire.DecodeRecords(raw)
}
