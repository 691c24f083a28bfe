package admission

import (
	"container/heap"
	"time"
)

// The queue links each waiting request in three places: in the list of its team and
// band for weighted fair queueing, in the list of its band in order of arrival for
// aging and load shedding, and in a heap ordered by expiry.

// node links an execution into a list. A waiting execution is in two lists.
type node struct {
	execution  *execution
	prev, next *node
}

// fifo is a doubly linked list that allows removal from the middle.
type fifo struct {
	front, back *node
	size        int
}

func (l *fifo) push(n *node) {
	n.prev, n.next = l.back, nil
	if l.back != nil {
		l.back.next = n
	} else {
		l.front = n
	}
	l.back = n
	l.size++
}

func (l *fifo) remove(n *node) {
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.front = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.back = n.prev
	}
	n.prev, n.next = nil, nil
	l.size--
}

// team is the fair queueing state of one caller. It is kept while the caller has
// waiting, running or paused requests, and after that until idle teams are removed.
type team struct {
	name string
	// virtualTime is the service received, in tokens, divided by the weight.
	virtualTime float64
	waiting     [bands]fifo
	// index is the position of the team in the heap of each band, or -1.
	index [bands]int
	// active counts the running and paused executions.
	active int
}

// teamHeap orders the teams with waiting requests in one band by virtual time.
type teamHeap struct {
	band  int
	teams []*team
}

func (h *teamHeap) Len() int { return len(h.teams) }
func (h *teamHeap) Less(i, j int) bool {
	a, b := h.teams[i], h.teams[j]
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}
func (h *teamHeap) Swap(i, j int) {
	h.teams[i], h.teams[j] = h.teams[j], h.teams[i]
	h.teams[i].index[h.band], h.teams[j].index[h.band] = i, j
}
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index[h.band] = len(h.teams)
	h.teams = append(h.teams, t)
}
func (h *teamHeap) Pop() any {
	last := len(h.teams) - 1
	t := h.teams[last]
	h.teams[last] = nil
	h.teams = h.teams[:last]
	t.index[h.band] = -1
	return t
}

// expiryHeap orders waiting requests by the time at which they expire.
type expiryHeap []*execution

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	e := x.(*execution)
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.expiryIndex = -1
	return e
}

// idleRemovalThreshold is the number of teams, busy or idle, from which idle ones
// are removed before a new one is added. Idle teams are kept only for their virtual
// time.
const idleRemovalThreshold = 256

type queue struct {
	teams     map[string]*team
	teamHeaps [bands]teamHeap
	arrivals  [bands]fifo
	expiry    expiryHeap
	size      int
	// backlogTokens is the expected number of tokens of the requests that wait in
	// each band.
	backlogTokens [bands]float64
	// virtualTime is the virtual time of the queue: the least virtual time among
	// the active teams when one was last served. An idle team that becomes active
	// starts from here.
	virtualTime float64
}

func newQueue() queue {
	q := queue{teams: map[string]*team{}}
	for b := range q.teamHeaps {
		q.teamHeaps[b].band = b
	}
	return q
}

// push adds a waiting request.
func (q *queue) push(e *execution) {
	t := q.team(e.Caller)
	e.team = t
	e.teamNode.execution, e.bandNode.execution = e, e
	t.waiting[e.band].push(&e.teamNode)
	if t.index[e.band] < 0 {
		heap.Push(&q.teamHeaps[e.band], t)
	}
	q.arrivals[e.band].push(&e.bandNode)
	heap.Push(&q.expiry, e)
	q.size++
	q.backlogTokens[e.band] += e.expected
}

func (q *queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		if len(q.teams) >= idleRemovalThreshold {
			q.removeIdleTeams()
		}
		t = &team{name: name, index: [bands]int{-1, -1, -1}}
		q.teams[name] = t
	}
	if !t.busy() {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	return t
}

func (t *team) busy() bool {
	for b := range t.waiting {
		if t.waiting[b].size > 0 {
			return true
		}
	}
	return t.active > 0
}

// removeIdleTeams deletes the teams without requests. At most a quarter of the
// calls find any, so the cost is amortized over many new teams.
func (q *queue) removeIdleTeams() {
	for name, t := range q.teams {
		if !t.busy() {
			delete(q.teams, name)
		}
	}
}

// remove removes a waiting request.
func (q *queue) remove(e *execution) {
	t := e.team
	t.waiting[e.band].remove(&e.teamNode)
	if t.waiting[e.band].size == 0 {
		heap.Remove(&q.teamHeaps[e.band], t.index[e.band])
	}
	q.arrivals[e.band].remove(&e.bandNode)
	heap.Remove(&q.expiry, e.expiryIndex)
	q.size--
	q.backlogTokens[e.band] -= e.expected
	if q.arrivals[e.band].size == 0 {
		q.backlogTokens[e.band] = 0
	}
}

// next returns the waiting request to consider next, or nil. The request that has
// waited longest comes first if it has waited for aging or longer, otherwise the
// first one of the team with the least virtual time in the most urgent band. Bands
// less urgent than maxBand are skipped.
func (q *queue) next(now, aging time.Duration, maxBand int) *execution {
	for b := bands - 1; b > bandUrgent; b-- {
		if n := q.arrivals[b].front; b <= maxBand && n != nil && now-n.execution.arrivedAt >= aging {
			return n.execution
		}
	}
	for b := 0; b <= maxBand; b++ {
		if len(q.teamHeaps[b].teams) > 0 {
			return q.teamHeaps[b].teams[0].waiting[b].front.execution
		}
	}
	return nil
}

// charge adds the expected service of an execution that starts to the virtual time
// of its team.
func (q *queue) charge(e *execution) {
	e.team.active++
	q.virtualTime = max(q.virtualTime, e.team.virtualTime)
	q.advanceVirtualTime(e.team, (float64(e.PromptTokens)+e.expected)/e.Weight)
}

// correctCharge replaces the expected service by the actual one when an execution
// ends.
func (q *queue) correctCharge(e *execution) {
	e.team.active--
	q.advanceVirtualTime(e.team, (float64(e.generated)-e.expected)/e.Weight)
}

func (q *queue) advanceVirtualTime(t *team, amount float64) {
	t.virtualTime += amount
	for b := range q.teamHeaps {
		if i := t.index[b]; i >= 0 {
			heap.Fix(&q.teamHeaps[b], i)
		}
	}
}

// expired returns a waiting request whose time in the queue has expired, or nil.
func (q *queue) expired(now time.Duration) *execution {
	if len(q.expiry) > 0 && q.expiry[0].expiresAt <= now {
		return q.expiry[0]
	}
	return nil
}

// newestLessUrgent returns the latest arrival in the least urgent band that is less
// urgent than the given one, or nil.
func (q *queue) newestLessUrgent(band int) *execution {
	for b := bands - 1; b > band; b-- {
		if n := q.arrivals[b].back; n != nil {
			return n.execution
		}
	}
	return nil
}
