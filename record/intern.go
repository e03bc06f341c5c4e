package record

import "sync"

// nameID is the id of an interned name.
type nameID uint32

// interner assigns an id to each name. It only grows: the names of removed organisations and models
// stay until the process ends. A configuration shares the interner of the configuration that it was
// derived from.
type interner struct {
	mu    sync.Mutex
	ids   map[string]nameID
	names []string
}

func newInterner() *interner {
	return &interner{ids: map[string]nameID{}}
}

// id returns the id of the name, and assigns one if the name has none.
func (n *interner) id(name string) nameID {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok := n.ids[name]
	if !ok {
		id = nameID(len(n.names))
		n.ids[name] = id
		n.names = append(n.names, name)
	}
	return id
}

// find returns the id of the name, if it has one.
func (n *interner) find(name string) (nameID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok := n.ids[name]
	return id, ok
}

// allNames returns the names by id. The returned elements never change.
func (n *interner) allNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names
}
