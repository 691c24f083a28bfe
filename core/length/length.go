// Package length estimates the distribution of response lengths by model, caller and
// class, in bounded memory. A key with few observations is smoothed with its class,
// a class with its model, and a model with a fixed prior.
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

// Config holds the bounds of an Estimator. Zero fields get defaults.
type Config struct {
	// MaxKeys bounds the number of keys. The least recently used key is evicted
	// first.
	MaxKeys int
	// Window is the number of observations after which the weight of earlier ones
	// is halved.
	Window float64
}

// Defaults of Config, and the number of observations that a parent distribution
// counts as. The class predicts the length better than the caller does, so a caller
// needs more observations to deviate from its class.
const (
	defaultMaxKeys    = 4096
	defaultWindow     = 2000
	callerPseudoCount = 30
	classPseudoCount  = 10
	modelPseudoCount  = 4
	// rebuildAfter is the number of observations of a parent after which a child
	// distribution is rebuilt.
	rebuildAfter = 32
)

// Estimator estimates length distributions. It is not safe for concurrent use.
type Estimator struct {
	cfg     Config
	prior   *Distribution
	keys    map[Key]*estimate
	recency *list.List
}

type estimate struct {
	key    Key
	counts [buckets]float64
	total  float64
	dist   Distribution
	dirty  bool
	// observations counts the observations of the key. parentObservations is the
	// count of the parent at the last rebuild.
	observations, parentObservations uint64
	element                          *list.Element
}

// New returns an Estimator without observations.
func New(cfg Config) *Estimator {
	if cfg.MaxKeys <= 0 {
		cfg.MaxKeys = defaultMaxKeys
	}
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	return &Estimator{cfg: cfg, prior: newPrior(), keys: map[Key]*estimate{}, recency: list.New()}
}

// Observe records that a response for key k ended after n tokens.
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
	est.observations++
	est.dirty = true
	if est.total >= 2*e.cfg.Window {
		for i := range est.counts {
			est.counts[i] /= 2
		}
		est.total /= 2
	}
}

// Distribution returns the estimated distribution of a key. The result stays valid,
// but it is no longer updated once the key is evicted.
func (e *Estimator) Distribution(k Key) *Distribution {
	est := e.get(k)
	parent, pseudoCount, parentObservations := e.prior, float64(modelPseudoCount), uint64(0)
	if k.Caller != "" || k.Class != "" {
		parentKey := Key{Model: k.Model}
		pseudoCount = classPseudoCount
		if k.Caller != "" {
			parentKey.Class = k.Class
			pseudoCount = callerPseudoCount
		}
		parent = e.Distribution(parentKey)
		parentObservations = e.keys[parentKey].observations
	}
	if est.dirty || est.observations == 0 || parentObservations-est.parentObservations >= rebuildAfter {
		est.dist.fit(&est.counts, est.total, parent, pseudoCount)
		est.dirty, est.parentObservations = false, parentObservations
	}
	return &est.dist
}

// get returns the estimate of a key and makes it the most recently used.
func (e *Estimator) get(k Key) *estimate {
	if est, ok := e.keys[k]; ok {
		e.recency.MoveToFront(est.element)
		return est
	}
	// A lookup uses up to three keys, so at least three are kept.
	for len(e.keys) >= max(e.cfg.MaxKeys, 3) {
		oldest := e.recency.Back()
		delete(e.keys, e.recency.Remove(oldest).(*estimate).key)
	}
	est := &estimate{key: k, dirty: true}
	est.element = e.recency.PushFront(est)
	e.keys[k] = est
	return est
}

// Keys returns the number of keys in memory.
func (e *Estimator) Keys() int { return len(e.keys) }
