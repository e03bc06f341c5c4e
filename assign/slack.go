package assign

import (
	"math"
	"time"
)

// maxDue bounds the due times of entries, relative to the origin of their tree, so that slacks do not overflow.
const maxDue = time.Duration(math.MaxInt64 / 8)

// slack is the due time of an item, relative to the origin of its tree, and the item's index: at an interval between two
// turns, the time that the item has left at its turn is due - interval*index.
type slack struct {
	due   time.Duration
	index int
}

func (s slack) at(interval time.Duration) time.Duration {
	return s.due - interval*time.Duration(s.index)
}

func (s slack) moved(by int) slack { return slack{s.due, s.index + by} }

// slacks holds the least and the greatest slack of a subtree, with indices counted from its first item. They are the least
// and the greatest at intervals from lowest to highest.
type slacks struct {
	least, greatest slack
	lowest, highest time.Duration
}

// setInterval has the slacks valid at an interval. It visits the subtrees whose least or greatest slack may be another one
// than at the interval before.
func (t *sumTree[T]) setInterval(interval time.Duration) {
	if t.interval != interval {
		t.interval = interval
		t.refresh(t.root)
	}
}

func (t *sumTree[T]) refresh(n *treeNode[T]) {
	if n == nil || (n.slacks.lowest <= t.interval && t.interval <= n.slacks.highest) {
		return
	}
	*t.kind.visited++
	t.refresh(n.left)
	t.refresh(n.right)
	t.updateSlacks(n)
}

// dueSince returns a time relative to the origin of the tree.
func (t *sumTree[T]) dueSince(at time.Time) time.Duration {
	return min(max(at.Sub(t.origin), -maxDue), maxDue)
}

// updateSlacks computes the slacks of a node from those of its children.
func (t *sumTree[T]) updateSlacks(n *treeNode[T]) {
	own := slack{t.dueSince(t.kind.due(n.item)), n.left.total().items}
	s := slacks{least: own, greatest: own, lowest: 0, highest: math.MaxInt64}
	for _, child := range []struct {
		node   *treeNode[T]
		offset int
	}{{n.left, 0}, {n.right, own.index + 1}} {
		if c := child.node; c != nil {
			s.lowest, s.highest = max(s.lowest, c.slacks.lowest), min(s.highest, c.slacks.highest)
			s.includeLeast(t.interval, c.slacks.least.moved(child.offset))
			s.includeGreatest(t.interval, c.slacks.greatest.moved(child.offset))
		}
	}
	n.slacks = s
}

func (s *slacks) includeLeast(interval time.Duration, other slack) {
	lower, upper := s.least, other
	if other.at(interval) < s.least.at(interval) {
		lower, upper = other, s.least
	}
	s.least = lower
	s.restrict(lower, upper)
}

func (s *slacks) includeGreatest(interval time.Duration, other slack) {
	lower, upper := other, s.greatest
	if other.at(interval) > s.greatest.at(interval) {
		lower, upper = s.greatest, other
	}
	s.greatest = upper
	s.restrict(lower, upper)
}

// restrict limits the intervals to those at which one slack is not above another one.
func (s *slacks) restrict(lower, upper slack) {
	more, ahead := upper.due-lower.due, time.Duration(upper.index-lower.index)
	switch {
	case ahead > 0:
		s.highest = min(s.highest, floorDiv(more, ahead))
	case ahead < 0:
		s.lowest = max(s.lowest, -floorDiv(more, -ahead))
	}
}

// floorDiv divides by a positive number and rounds down.
func floorDiv(x, y time.Duration) time.Duration {
	q := x / y
	if x%y < 0 {
		q--
	}
	return q
}

// firstBelow returns the first index, not below from, of an item whose slack is below a bound; the length if there is none.
func (t *sumTree[T]) firstBelow(from int, bound time.Duration) int {
	return t.first(t.root, 0, from, func(n *treeNode[T], offset int) bool { return n.slacks.least.moved(offset).at(t.interval) < bound },
		func(s slack) bool { return s.at(t.interval) < bound })
}

// firstFrom returns the first index, not below from, of an item whose slack is at least a bound; the length if there is none.
func (t *sumTree[T]) firstFrom(from int, bound time.Duration) int {
	return t.first(t.root, 0, from, func(n *treeNode[T], offset int) bool { return n.slacks.greatest.moved(offset).at(t.interval) >= bound },
		func(s slack) bool { return s.at(t.interval) >= bound })
}

// first returns the first index, not below from, of an item that matches; the length if there is none. Some tells whether
// an item of a subtree may match.
func (t *sumTree[T]) first(n *treeNode[T], offset, from int, some func(n *treeNode[T], offset int) bool, matches func(s slack) bool) int {
	if n == nil || offset+n.sums.items <= from {
		return t.len()
	}
	*t.kind.visited++
	if !some(n, offset) {
		return t.len()
	}
	if found := t.first(n.left, offset, from, some, matches); found < t.len() {
		return found
	}
	index := offset + n.left.total().items
	if index >= from && matches(slack{t.dueSince(t.kind.due(n.item)), index}) {
		return index
	}
	return t.first(n.right, index+1, from, some, matches)
}
