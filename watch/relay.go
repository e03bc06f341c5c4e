package watch

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"

	"github.com/jasminelock/jasminelock/catalog"
	"github.com/jasminelock/jasminelock/store"
)

// maxConfigBytes bounds a configuration that another host passes on.
const maxConfigBytes = 64 << 20

// Relayed says whether another host passes changes on, so that the store need
// not be read.
func (w *Watcher) Relayed(on bool) {
	if w.relayed.Swap(on) == on || on {
		return
	}
	for _, c := range w.resumed {
		wake(c)
	}
}

// PackConfig compresses a configuration's row, to be passed on.
func PackConfig(row store.Row) ([]byte, error) {
	var b bytes.Buffer
	out, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	b.WriteByte(byte(len(row.Key)))
	b.WriteString(row.Key)
	if _, err := out.Write(row.Value); err != nil {
		return nil, err
	}
	if err := out.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func unpackConfig(packed []byte) (store.Row, error) {
	if len(packed) == 0 || len(packed) < 1+int(packed[0]) {
		return store.Row{}, io.ErrUnexpectedEOF
	}
	key := string(packed[1 : 1+int(packed[0])])
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed[1+len(key):])), maxConfigBytes))
	return store.Row{Key: key, Value: value}, err
}

// TakeConfig takes a configuration and announced versions that another host
// passes on. packed may be empty.
func (w *Watcher) TakeConfig(packed []byte, versions catalog.Versions) {
	w.mu.Lock()
	next := *w.view.Load()
	if len(packed) > 0 {
		row, err := unpackConfig(packed)
		if err != nil {
			w.log.Error("configuration passed on cannot be read", "error", err)
		} else {
			w.applyConfig(&next, row)
		}
	}
	if len(versions) > 0 {
		next.Versions = maps.Clone(next.Versions)
		for ref, v := range versions {
			next.Versions[ref] = max(next.Versions[ref], v)
		}
	}
	w.publish(&next)
}

// TakeUpstreams takes upstreams that another host passes on: all there are where
// whole is set, else those that have changed or are gone. What they hold is not
// passed on; of those known already it stays as it was.
func (w *Watcher) TakeUpstreams(whole bool, listed []*catalog.Upstream, gone []string) {
	w.mu.Lock()
	next := *w.view.Load()
	before := next.Upstreams
	next.Upstreams = map[string]*catalog.Upstream{}
	if !whole {
		next.Upstreams = maps.Clone(before)
	}
	for _, u := range listed {
		if old, ok := before[u.ID]; ok && old.Born == u.Born {
			u.Loaded = old.Loaded
		}
		next.Upstreams[u.ID] = u
	}
	for _, id := range gone {
		delete(next.Upstreams, id)
	}
	clear(w.lapsed)
	w.publish(&next)
}
