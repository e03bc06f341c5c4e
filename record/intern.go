package record

import "sync"

// nameID stands for a name that many rows share.
type nameID uint32

// interner gives each name one id. It only grows: the names of organisations
// and models that are gone stay until the process ends. All configurations that
// came from one another share it.
type interner struct {
	mu    sync.Mutex
	ids   map[string]nameID
	names []string
}

func newInterner() *interner {
	return &interner{ids: map[string]nameID{}}
}

// id returns the name's id, a new one where there is none.
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

// find returns the name's id, if it has one.
func (n *interner) find(name string) (nameID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok := n.ids[name]
	return id, ok
}

// allNames returns the names by id. What is returned does not change.
func (n *interner) allNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names
}
