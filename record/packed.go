package record

import (
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// packedShardCount is the number of shards of a packed table. A change copies the
// shards that it touches, and the list of all shards.
const packedShardCount = 1024

// packedTable is an immutable table of very many small rows by key. Rows hold no
// pointers and the texts of a shard stand in one string, so that a row costs
// little memory and nothing to the garbage collector.
type packedTable[R any] struct {
	shards []*packedShard[R] // a nil shard is empty
	count  int
}

// packedShard holds rows in the order of their keys.
type packedShard[R any] struct {
	// text holds each row's key and, after it, the row's extra text.
	text string
	rows []packedRow[R]
}

type packedRow[R any] struct {
	// keyEnd and extraEnd are where the row's texts end. They start where the
	// row before ends.
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

// shardOf puts an adapter and all its versions into shards of the same number.
func shardOf(key string) int {
	name, _, _ := strings.Cut(key, "@")
	return int(xxhash.Sum64String(name) % packedShardCount)
}

// get returns a row. The texts share the table's memory.
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

// search returns the place of the first row whose key is not below the given one.
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

// packedEntry is one row with its texts.
type packedEntry[R any] struct {
	key, extra string
	value      R
}

// all gives every row, in no order that means anything.
func (p packedTable[R]) all() iter.Seq[packedEntry[R]] {
	return func(yield func(packedEntry[R]) bool) {
		for _, s := range p.shards {
			if s != nil && !s.eachFrom(0, yield) {
				return
			}
		}
	}
}

// withPrefix gives the rows whose keys start with prefix, in order. The prefix
// holds the whole name that shardOf goes by.
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

// withUpdates returns the table after the updates. The receiver is not changed and
// shares the shards that are not touched.
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

// withUpdates merges updates, in the order of their keys, into the rows.
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
