package failuredomain

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against an order that takes effect although another one was acknowledged after it was
// sent, and against an order that holds already and is refused.
func TestOrders(t *testing.T) {
	var e Evacuations
	for i, step := range []struct {
		order    Order
		want     Outcome
		count    int
		revision uint64
	}{
		{Order{"a", true, 1}, Outcome{Conflict: true}, 0, 0},
		{Order{"a", true, 0}, Outcome{Changed: true, Revision: 1}, 1, 1},
		{Order{"a", true, 0}, Outcome{Conflict: true, Revision: 1}, 1, 1},
		{Order{"a", true, 1}, Outcome{Revision: 2}, 1, 1},
		{Order{"b", true, 0}, Outcome{Changed: true, Revision: 1}, 2, 2},
		{Order{"a", false, 2}, Outcome{Changed: true, Revision: 3}, 1, 3},
		{Order{"a", true, 2}, Outcome{Conflict: true, Revision: 3}, 1, 3},
		// The end of an evacuation that did not begin overtakes a beginning in transit.
		{Order{"c", false, 0}, Outcome{Revision: 1}, 1, 3},
		{Order{"c", true, 0}, Outcome{Conflict: true, Revision: 1}, 1, 3},
	} {
		got := e.Apply(step.order)
		if got != step.want || e.Count() != step.count || e.Revision() != step.revision {
			t.Errorf("step %d: %+v with %d evacuated at revision %d, want %+v", i, got, e.Count(), e.Revision(), step)
		}
		if e.DomainRevision(step.order.Domain) != got.Revision {
			t.Errorf("step %d: domain revision %d", i, e.DomainRevision(step.order.Domain))
		}
	}
	want := []Status{{"a", false, 3, 3}, {"b", true, 1, 2}, {"c", false, 1, 0}}
	if diff := cmp.Diff(want, e.List()); diff != "" {
		t.Error(diff)
	}
}

// Guards against orders for domains that do not exist, and against a state without a bound where
// the settings name no domains.
func TestCheck(t *testing.T) {
	var e Evacuations
	for _, c := range []struct {
		domain string
		known  []string
		ok     bool
	}{
		{"a", []string{"b", "a"}, true}, {"c", []string{"b", "a"}, false}, {"", []string{"a"}, false},
		{"c", nil, true}, {"", nil, false}, {strings.Repeat("x", MaxNameBytes), nil, true},
		{strings.Repeat("x", MaxNameBytes+1), nil, false},
	} {
		err := e.Check(c.domain, c.known)
		if (err == nil) != c.ok || err != nil && !errors.Is(err, ErrUnknown) {
			t.Errorf("%q of %q: %v", c.domain, c.known, err)
		}
	}
	err := e.Check("c\n", []string{"b", "a"})
	if text := err.Error(); !strings.Contains(text, `"c\n"`) || !strings.Contains(text, "a, b") {
		t.Errorf("the error %q does not name the domain and the known ones", text)
	}
	for i := range maxUnlisted {
		e.Apply(Order{Domain: fmt.Sprint(i), Evacuate: true})
	}
	if e.Check("another", nil) == nil || e.Check("5", nil) != nil || e.Check("another", []string{"another"}) != nil {
		t.Error("the number of domains is not bounded by those named before")
	}
}

// Guards against malformed data that are taken for an order or a set.
func TestDecodeRejectsMalformedData(t *testing.T) {
	var e Evacuations
	e.Apply(Order{Domain: "a", Evacuate: true})
	set, order := e.Encode(), Order{Domain: "a", Base: 7}.Encode()
	for n := range set {
		if _, _, err := DecodeEvacuations(set[:n]); err == nil {
			t.Errorf("%d of %d bytes of a set are decoded", n, len(set))
		}
	}
	for n := range len(order) - len("a") {
		if _, err := DecodeOrder(order[:n]); err == nil {
			t.Errorf("%d of %d bytes of an order are decoded", n, len(order))
		}
	}
	if _, err := DecodeOrder(set); err == nil {
		t.Error("a set is taken for an order")
	}
	if _, _, err := DecodeEvacuations(order); err == nil {
		t.Error("an order is taken for a set")
	}
	if _, _, err := DecodeEvacuations(append([]byte(nil), set[:headerBytes]...)); err == nil {
		t.Error("a header is taken for a set")
	}
}

// FuzzDecode guards against a panic or an endless loop on damaged data.
func FuzzDecode(f *testing.F) {
	var e Evacuations
	e.Apply(Order{Domain: "a", Evacuate: true})
	f.Add(e.Encode())
	f.Add(Order{Domain: "a", Base: 7}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if set, rest, err := DecodeEvacuations(data); err == nil {
			again, _, err := DecodeEvacuations(set.Encode())
			if diff := cmp.Diff(set.List(), again.List()); err != nil || diff != "" || len(rest) > len(data) {
				t.Error(err, diff)
			}
		}
		_, _ = DecodeOrder(data)
	})
}

// randomRun is a history of orders of operators who give up, at members that lag behind, with copies
// of orders that stay in transit.
type randomRun struct {
	t            *testing.T
	rng          *rand.Rand
	set, replica Evacuations
	// open are the orders of calls that wait for an acknowledgment, and delayed copies of orders
	// in transit.
	open, delayed []Order
	acknowledged  map[string]bool
}

// arrive adds an operator's call at a member whose copy of the set may be some orders old.
func (r *randomRun) arrive(domain string) {
	base := r.set.DomainRevision(domain)
	base -= min(base, uint64(r.rng.Intn(3)))
	order := Order{domain, r.rng.Intn(2) == 0, base}
	r.open, r.delayed = append(r.open, order), append(r.delayed, order)
}

// acknowledge ends all calls of a domain: the newest is acknowledged, the operators of the others
// give up.
func (r *randomRun) acknowledge(domain string) {
	var others []Order
	var newest *Order
	for _, o := range r.open {
		if o.Domain == domain {
			newest = &o
		} else {
			others = append(others, o)
		}
	}
	r.open = others
	if newest == nil {
		return
	}
	for {
		outcome := applyBoth(r.t, &r.set, &r.replica, *newest)
		if !outcome.Conflict {
			break
		}
		newest.Base = outcome.Revision
		r.delayed = append(r.delayed, *newest)
	}
	r.acknowledged[domain] = newest.Evacuate
}

// deliver delivers a delayed order of a domain without open calls.
func (r *randomRun) deliver() {
	if len(r.delayed) == 0 {
		return
	}
	o := r.delayed[r.rng.Intn(len(r.delayed))]
	if !slices.ContainsFunc(r.open, func(other Order) bool { return other.Domain == o.Domain }) {
		applyBoth(r.t, &r.set, &r.replica, o)
	}
}

// Guards against an order of an operator that gave up and takes effect after a later order of the
// same domain was acknowledged, whatever copies of it are delayed, and against replicas that
// differ, also after a snapshot.
func TestRandomOrders(t *testing.T) {
	for seed := range int64(300) {
		r := &randomRun{t: t, rng: rand.New(rand.NewSource(seed)), acknowledged: map[string]bool{}}
		for step := range 200 {
			domain := string(rune('a' + r.rng.Intn(3)))
			switch r.rng.Intn(3) {
			case 0:
				r.arrive(domain)
			case 1:
				r.acknowledge(domain)
			case 2:
				r.deliver()
			}
			for _, s := range r.set.List() {
				if want, known := r.acknowledged[s.Domain]; known && s.Evacuated != want {
					t.Fatalf("seed %d, step %d: %+v, acknowledged %v", seed, step, s, want)
				}
			}
			if r.rng.Intn(20) == 0 && !r.replica.IsEmpty() {
				restored, rest, err := DecodeEvacuations(append(r.replica.Encode(), "rest"...))
				if err != nil || string(rest) != "rest" {
					t.Fatalf("seed %d: %q, %v", seed, rest, err)
				}
				r.replica = restored
			}
		}
		if diff := cmp.Diff(r.set.List(), r.replica.List()); diff != "" || r.set.Revision() != r.replica.Revision() {
			t.Fatalf("seed %d: the replicas differ: %s", seed, diff)
		}
	}
}

// applyBoth applies an order, encoded and decoded, to both sets.
func applyBoth(t *testing.T, a, b *Evacuations, o Order) Outcome {
	t.Helper()
	decoded, err := DecodeOrder(o.Encode())
	if err != nil || decoded != o {
		t.Fatalf("decoded %+v from %+v: %v", decoded, o, err)
	}
	outcome := a.Apply(o)
	if other := b.Apply(decoded); other != outcome {
		t.Fatalf("outcomes %+v and %+v of %+v", outcome, other, o)
	}
	return outcome
}
