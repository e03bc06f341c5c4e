package record

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type packedUpdater func(p packedTable[int], updates map[string]packedUpdate[int]) packedTable[int]

func updateCopy(p packedTable[int], updates map[string]packedUpdate[int]) packedTable[int] {
	return p.withUpdates(updates)
}

// updateInPlace is faulty: it modifies shards that are shared with earlier tables.
func updateInPlace(p packedTable[int], updates map[string]packedUpdate[int]) packedTable[int] {
	next := p.withUpdates(updates)
	copy(p.shards, next.shards)
	return next
}

// packedProperty compares a table with a map after each of several updates, and checks that the table
// before the update is unchanged.
func packedProperty(draw *rapid.T, applyUpdates packedUpdater) error {
	key := rapid.StringMatching(`[a-c]{1,2}(@[12])?`)
	update := rapid.Custom(func(t *rapid.T) packedUpdate[int] {
		return packedUpdate[int]{extra: rapid.StringMatching(`[xy]{0,2}`).Draw(t, "extra"), value: rapid.Int().Draw(t, "value"), remove: rapid.Bool().Draw(t, "remove")}
	})
	p, model := newPackedTable[int](), map[string]packedUpdate[int]{}
	for range rapid.IntRange(1, 6).Draw(draw, "steps") {
		tableBefore, modelBefore := p, maps.Clone(model)
		updates := rapid.MapOfN(key, update, 0, 8).Draw(draw, "updates")
		p = applyUpdates(p, updates)
		for k, u := range updates {
			model[k] = u
			if u.remove {
				delete(model, k)
			}
		}
		if err := errors.Join(comparePacked(p, model), comparePacked(tableBefore, modelBefore)); err != nil {
			return err
		}
	}
	return nil
}

func comparePacked(p packedTable[int], model map[string]packedUpdate[int]) error {
	seen := 0
	for e := range p.all() {
		seen++
		value, extra, ok := p.get(e.key)
		u := model[e.key]
		if !ok || extra != e.extra || value != e.value || u.extra != e.extra || u.value != e.value {
			return fmt.Errorf("row %+v, want %+v", e, u)
		}
	}
	if seen != len(model) || p.count != len(model) {
		return fmt.Errorf("%d rows, count %d, want %d", seen, p.count, len(model))
	}
	var versions, wanted []string
	for e := range p.withPrefix("a@") {
		versions = append(versions, e.key)
	}
	for _, k := range slices.Sorted(maps.Keys(model)) {
		if strings.HasPrefix(k, "a@") {
			wanted = append(wanted, k)
		}
	}
	if !slices.Equal(versions, wanted) {
		return fmt.Errorf("versions %v, want %v", versions, wanted)
	}
	return nil
}

func TestPackedTable_MatchesMap(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { require.NoError(draw, packedProperty(draw, updateCopy)) })
}

func TestPackedTable_DetectsInPlaceUpdate(t *testing.T) {
	found := false
	rapid.Check(t, func(draw *rapid.T) { found = packedProperty(draw, updateInPlace) != nil || found })
	require.True(t, found)
}

func TestPackSource_RoundTrip(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		ref := AdapterRef{
			Name:    rapid.StringMatching(`[ab][ab1]{0,3}`).Draw(draw, "name"),
			Version: rapid.StringMatching(`[1a]{1,2}`).Draw(draw, "version"),
		}
		source := rapid.StringMatching(`[\x01\x02\x03/ab1]{1,12}`).Draw(draw, "source")
		require.Equal(draw, source, unpackSource(ref, packSource(ref, source)))
	})
}
