// Package length learns how long answers get, by model, caller and class, with
// bounded memory. A key with few observations leans on its class, a class on
// its model, and a model on a prior.
package length

import (
	"container/list"

	"arbutusmast.example/arbutusmast/core/message"
)

// Key selects a distribution. An empty Caller stands for all callers, an empty
// Class for all classes.
type Key struct {
	Model  string
	Caller string
	Class  message.RequestClass
}

// Config bounds an Estimator. Zero fields get defaults.
type Config struct {
	// MaxKeys bounds the number of keys; the least recently used one goes first.
	MaxKeys int
	// Window is the number of observations after which old ones weigh half.
	Window float64
}

// Defaults of Config, and the number of observations that a parent
// distribution counts as. Class says more about length than the caller does,
// so a caller needs more observations to depart from its class.
const (
	defaultMaxKeys = 4096
	defaultWindow  = 2000
	callerPseudo   = 30
	classPseudo    = 10
	modelPseudo    = 4
	// staleAfter is the number of changes of a parent after which its
	// children are rebuilt.
	staleAfter = 32
)

// Estimator learns length distributions. It is not safe for concurrent use.
type Estimator struct {
	cfg   Config
	prior *Distribution
	keys  map[Key]*estimate
	used  *list.List
}

type estimate struct {
	key    Key
	counts [buckets]float64
	total  float64
	dist   Distribution
	dirty  bool
	// changes counts observations; parentSeen is the parent's count at the last
	// rebuild.
	changes, parentSeen uint64
	element             *list.Element
}

// New returns an Estimator without observations.
func New(cfg Config) *Estimator {
	if cfg.MaxKeys <= 0 {
		cfg.MaxKeys = defaultMaxKeys
	}
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	return &Estimator{cfg: cfg, prior: newPrior(), keys: map[Key]*estimate{}, used: list.New()}
}

// Observe records that an answer of a key ended after n tokens.
func (e *Estimator) Observe(k Key, n int) {
	e.add(Key{Model: k.Model}, n)
	if k.Class != "" {
		e.add(Key{Model: k.Model, Class: k.Class}, n)
	}
	if k.Caller != "" {
		e.add(k, n)
	}
}

func (e *Estimator) add(k Key, n int) {
	est := e.get(k)
	est.counts[bucketOf(n)]++
	est.total++
	est.changes++
	est.dirty = true
	if est.total >= 2*e.cfg.Window {
		for i := range est.counts {
			est.counts[i] /= 2
		}
		est.total /= 2
	}
}

// Distribution returns the estimate for a key. The result stays valid, but it
// stops learning when the key is evicted.
func (e *Estimator) Distribution(k Key) *Distribution {
	est := e.get(k)
	parent, pseudo, changes := e.prior, float64(modelPseudo), uint64(0)
	if k.Caller != "" || k.Class != "" {
		up := Key{Model: k.Model}
		pseudo = classPseudo
		if k.Caller != "" {
			up.Class = k.Class
			pseudo = callerPseudo
		}
		parent = e.Distribution(up)
		changes = e.keys[up].changes
	}
	if est.dirty || est.changes == 0 || changes-est.parentSeen >= staleAfter {
		est.dist.set(&est.counts, est.total, parent, pseudo)
		est.dirty, est.parentSeen = false, changes
	}
	return &est.dist
}

// get returns the estimate of a key and makes it the most recently used.
func (e *Estimator) get(k Key) *estimate {
	if est, ok := e.keys[k]; ok {
		e.used.MoveToFront(est.element)
		return est
	}
	// A lookup touches up to three keys, so at least that many stay.
	for len(e.keys) >= max(e.cfg.MaxKeys, 3) {
		oldest := e.used.Back()
		delete(e.keys, e.used.Remove(oldest).(*estimate).key)
	}
	est := &estimate{key: k, dirty: true}
	est.element = e.used.PushFront(est)
	e.keys[k] = est
	return est
}

// Keys returns the number of keys held.
func (e *Estimator) Keys() int { return len(e.keys) }
