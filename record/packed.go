package record

import (
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// packedShardCount is the number of shards of a packed table. An update copies the shards that it
// changes and the list of all shards.
const packedShardCount = 1024

// packedTable is an immutable table for a very large number of small rows, ordered by key within a
// shard. Rows hold no pointers and all texts of a shard are in one string, so that a row needs little
// memory and the garbage collector does not scan it.
type packedTable[R any] struct {
	shards []*packedShard[R] // a nil shard is empty
	count  int
}

// packedShard holds rows in the order of their keys.
type packedShard[R any] struct {
	// text is the concatenation of each row's key and extra text, in the order of the rows.
	text string
	rows []packedRow[R]
}

type packedRow[R any] struct {
	// keyEnd and extraEnd are the end offsets of the row's key and extra text in packedShard.text. The
	// key starts at extraEnd of the previous row, the extra text at keyEnd.
	keyEnd, extraEnd uint32
	value            R
}

// packedUpdate sets or removes one row.
type packedUpdate[R any] struct {
	extra  string
	value  R
	remove bool
}

func newPackedTable[R any]() packedTable[R] {
	return packedTable[R]{shards: make([]*packedShard[R], packedShardCount)}
}

// shardOf returns the shard index of a key. An adapter and all its versions have the same index.
func shardOf(key string) int {
	name, _, _ := strings.Cut(key, "@")
	return int(xxhash.Sum64String(name) % packedShardCount)
}

// get returns the value and the extra text of a row. The text shares the table's memory.
func (p packedTable[R]) get(key string) (value R, extra string, ok bool) {
	s := p.shards[shardOf(key)]
	if s == nil {
		return value, "", false
	}
	i, ok := s.search(key)
	if !ok {
		return value, "", false
	}
	_, extra = s.keyAndExtra(i)
	return s.rows[i].value, extra, true
}

// search returns the index of the first row whose key is not less than the given one, and whether that
// row has the key.
func (s *packedShard[R]) search(key string) (int, bool) {
	low, high := 0, len(s.rows)
	for low < high {
		middle := (low + high) / 2
		if k, _ := s.keyAndExtra(middle); k < key {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(s.rows) {
		return low, false
	}
	k, _ := s.keyAndExtra(low)
	return low, k == key
}

func (s *packedShard[R]) keyAndExtra(i int) (key, extra string) {
	start := uint32(0)
	if i > 0 {
		start = s.rows[i-1].extraEnd
	}
	row := s.rows[i]
	return s.text[start:row.keyEnd], s.text[row.keyEnd:row.extraEnd]
}

// packedEntry is one row with its key and extra text.
type packedEntry[R any] struct {
	key, extra string
	value      R
}

// all iterates over all rows, in no particular order.
func (p packedTable[R]) all() iter.Seq[packedEntry[R]] {
	return func(yield func(packedEntry[R]) bool) {
		for _, s := range p.shards {
			if s != nil && !s.eachFrom(0, yield) {
				return
			}
		}
	}
}

// withPrefix iterates in order over the rows whose keys start with prefix. The prefix must contain the
// complete adapter name, which shardOf depends on.
func (p packedTable[R]) withPrefix(prefix string) iter.Seq[packedEntry[R]] {
	return func(yield func(packedEntry[R]) bool) {
		s := p.shards[shardOf(prefix)]
		if s == nil {
			return
		}
		first, _ := s.search(prefix)
		s.eachFrom(first, func(e packedEntry[R]) bool {
			return strings.HasPrefix(e.key, prefix) && yield(e)
		})
	}
}

func (s *packedShard[R]) eachFrom(first int, yield func(packedEntry[R]) bool) bool {
	for i := first; i < len(s.rows); i++ {
		key, extra := s.keyAndExtra(i)
		if !yield(packedEntry[R]{key, extra, s.rows[i].value}) {
			return false
		}
	}
	return true
}

// withUpdates returns a table with the updates applied. The receiver is not changed; unchanged shards
// are shared.
func (p packedTable[R]) withUpdates(updates map[string]packedUpdate[R]) packedTable[R] {
	if len(updates) == 0 {
		return p
	}
	byShard := map[int][]string{}
	for key := range updates {
		n := shardOf(key)
		byShard[n] = append(byShard[n], key)
	}
	next := packedTable[R]{shards: slices.Clone(p.shards), count: p.count}
	for n, keys := range byShard {
		slices.Sort(keys)
		old := p.shards[n]
		if old == nil {
			old = &packedShard[R]{}
		}
		changed := old.withUpdates(keys, updates)
		next.shards[n] = changed
		next.count += len(changed.rows) - len(old.rows)
	}
	return next
}

// withUpdates returns a shard with the updates merged in. keys are the keys of the updates in order.
func (s *packedShard[R]) withUpdates(keys []string, updates map[string]packedUpdate[R]) *packedShard[R] {
	b := packedBuilder[R]{rows: make([]packedRow[R], 0, len(s.rows)+len(keys))}
	b.text.Grow(len(s.text))
	i := 0
	for _, key := range keys {
		for i < len(s.rows) {
			k, extra := s.keyAndExtra(i)
			if k >= key {
				break
			}
			b.add(k, extra, s.rows[i].value)
			i++
		}
		if i < len(s.rows) {
			if k, _ := s.keyAndExtra(i); k == key {
				i++
			}
		}
		if u := updates[key]; !u.remove {
			b.add(key, u.extra, u.value)
		}
	}
	for ; i < len(s.rows); i++ {
		k, extra := s.keyAndExtra(i)
		b.add(k, extra, s.rows[i].value)
	}
	return &packedShard[R]{text: strings.Clone(b.text.String()), rows: slices.Clip(b.rows)}
}

type packedBuilder[R any] struct {
	text strings.Builder
	rows []packedRow[R]
}

func (b *packedBuilder[R]) add(key, extra string, value R) {
	b.text.WriteString(key)
	keyEnd := b.text.Len()
	b.text.WriteString(extra)
	b.rows = append(b.rows, packedRow[R]{uint32(keyEnd), uint32(b.text.Len()), value})
}
