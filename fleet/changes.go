package fleet

// maxTombstones bounds the removed keys that a changeLog remembers.
const maxTombstones = 1024

// changeLog is a map that knows which of its values changed after a numbered state, so that
// only those are sent. Numbers grow.
type changeLog[V any] struct {
	values map[string]numbered[V]
	// removed holds the removed keys, oldest first.
	removed []numbered[string]
	// complete is the number after which all changes are known.
	complete uint64
	// same reports whether the difference of two values does not matter.
	same func(a, b V) bool
}

// numbered is a value with the number of its last change.
type numbered[V any] struct {
	value   V
	changed uint64
}

func newChangeLog[V any](same func(a, b V) bool) *changeLog[V] {
	return &changeLog[V]{values: map[string]numbered[V]{}, same: same}
}

// differs reports whether the values are not those of the given map.
func (c *changeLog[V]) differs(values map[string]V) bool {
	if len(values) != len(c.values) {
		return true
	}
	for key, value := range values {
		if old, known := c.values[key]; !known || !c.same(old.value, value) {
			return true
		}
	}
	return false
}

// replace makes the values those of the given map, as the state with a number.
func (c *changeLog[V]) replace(number uint64, values map[string]V) {
	for key := range c.values {
		if _, kept := values[key]; !kept {
			delete(c.values, key)
			c.removed = append(c.removed, numbered[string]{key, number})
		}
	}
	for key, value := range values {
		if old, known := c.values[key]; !known || !c.same(old.value, value) {
			c.values[key] = numbered[V]{value, number}
		}
	}
	if excess := len(c.removed) - maxTombstones; excess > 0 {
		c.complete = c.removed[excess-1].changed
		c.removed = append(c.removed[:0], c.removed[excess:]...)
	}
}

// restart makes the changes before a number unknown, because they were another source's.
func (c *changeLog[V]) restart(number uint64) {
	c.removed, c.complete = nil, number
	for key, value := range c.values {
		c.values[key] = numbered[V]{value.value, number}
	}
}

// since returns the values that changed and the keys that were removed after the state with
// a number. It returns false if these are not known any more.
func (c *changeLog[V]) since(number uint64) (changed []V, removed []string, known bool) {
	if number < c.complete {
		return nil, nil, false
	}
	for _, value := range c.values {
		if value.changed > number {
			changed = append(changed, value.value)
		}
	}
	for _, r := range c.removed {
		if _, back := c.values[r.value]; r.changed > number && !back {
			removed = append(removed, r.value)
		}
	}
	return changed, removed, true
}

// all returns all values.
func (c *changeLog[V]) all() []V {
	list := make([]V, 0, len(c.values))
	for _, value := range c.values {
		list = append(list, value.value)
	}
	return list
}
