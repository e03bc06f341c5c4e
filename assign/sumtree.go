package assign

import (
	"math/rand/v2"
	"time"
)

// treeSums are the sums over some items of a sumTree.
type treeSums struct {
	// items is the number of items, requests that of the waiting requests in them.
	items, requests int
	work            time.Duration
	// requestsPerWork is the sum of the items' numbers of requests, each divided by the item's work.
	requestsPerWork float64
}

func (s treeSums) plus(other treeSums) treeSums {
	return treeSums{
		items: s.items + other.items, requests: s.requests + other.requests, work: s.work + other.work,
		requestsPerWork: s.requestsPerWork + other.requestsPerWork,
	}
}

// treeKind is what the trees of one kind of item have in common.
type treeKind[T any] struct {
	compare func(x, y T) int
	measure func(item T) treeSums
	// due returns when an item is due, by which the items are then ordered; it is nil for trees without slacks.
	due func(item T) time.Time
	// random balances the trees, visited counts the nodes visited.
	random  *rand.Rand
	visited *uint64
}

// sumTree holds items in an order, with the sums over each subtree, so that the sums over all items before a place are found
// in logarithmic time. It is a treap: each node has a random priority, and no child has a higher one than its parent. Sums
// are computed anew from those of the children, so that they do not drift.
type sumTree[T any] struct {
	kind *treeKind[T]
	root *treeNode[T]
	// interval is the interval at which the slacks are valid, origin the time from which they are counted.
	interval time.Duration
	origin   time.Time
}

type treeNode[T any] struct {
	item        T
	sums        treeSums
	slacks      slacks
	priority    uint64
	left, right *treeNode[T]
}

func (n *treeNode[T]) total() treeSums {
	if n == nil {
		return treeSums{}
	}
	return n.sums
}

// len returns the number of items.
func (t *sumTree[T]) len() int { return t.root.total().items }

// update computes the sums of a node from those of its children.
func (t *sumTree[T]) update(n *treeNode[T]) {
	*t.kind.visited++
	n.sums = n.left.total().plus(t.kind.measure(n.item)).plus(n.right.total())
	if t.kind.due != nil {
		t.updateSlacks(n)
	}
}

// insert adds an item.
func (t *sumTree[T]) insert(item T) {
	if t.root == nil && t.kind.due != nil {
		t.origin = t.kind.due(item)
	}
	n := &treeNode[T]{item: item, priority: t.kind.random.Uint64()}
	t.root = t.insertNode(t.root, n)
}

func (t *sumTree[T]) insertNode(at, n *treeNode[T]) *treeNode[T] {
	if at == nil || n.priority > at.priority {
		n.left, n.right = t.split(at, n.item)
		t.update(n)
		return n
	}
	if t.kind.compare(at.item, n.item) < 0 {
		at.right = t.insertNode(at.right, n)
	} else {
		at.left = t.insertNode(at.left, n)
	}
	t.update(at)
	return at
}

// split separates the items of a subtree that are before the given one from the others.
func (t *sumTree[T]) split(at *treeNode[T], item T) (before, after *treeNode[T]) {
	if at == nil {
		return nil, nil
	}
	if t.kind.compare(at.item, item) < 0 {
		at.right, after = t.split(at.right, item)
		t.update(at)
		return at, after
	}
	before, at.left = t.split(at.left, item)
	t.update(at)
	return before, at
}

// remove removes an item and reports whether it was there.
func (t *sumTree[T]) remove(item T) bool {
	root, removed := t.removeNode(t.root, item)
	t.root = root
	return removed
}

func (t *sumTree[T]) removeNode(at *treeNode[T], item T) (rest *treeNode[T], removed bool) {
	if at == nil {
		return nil, false
	}
	switch c := t.kind.compare(item, at.item); {
	case c == 0:
		return t.merge(at.left, at.right), true
	case c < 0:
		at.left, removed = t.removeNode(at.left, item)
	default:
		at.right, removed = t.removeNode(at.right, item)
	}
	t.update(at)
	return at, removed
}

// merge joins two subtrees, all items of the first being before those of the second.
func (t *sumTree[T]) merge(x, y *treeNode[T]) *treeNode[T] {
	switch {
	case x == nil:
		return y
	case y == nil:
		return x
	case x.priority > y.priority:
		x.right = t.merge(x.right, y)
		t.update(x)
		return x
	}
	y.left = t.merge(x, y.left)
	t.update(y)
	return y
}

// before returns the sums over the items before the first one for which from is true. From must be true for all items after
// that one.
func (t *sumTree[T]) before(from func(item T) bool) treeSums {
	sums := treeSums{}
	for n := t.root; n != nil; {
		*t.kind.visited++
		if from(n.item) {
			n = n.left
			continue
		}
		sums = sums.plus(n.left.total()).plus(t.kind.measure(n.item))
		n = n.right
	}
	return sums
}

// at returns the item at an index, which must be less than the length.
func (t *sumTree[T]) at(index int) T {
	n := t.root
	for {
		*t.kind.visited++
		left := n.left.total().items
		switch {
		case index < left:
			n = n.left
		case index == left:
			return n.item
		default:
			index -= left + 1
			n = n.right
		}
	}
}
