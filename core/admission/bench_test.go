package admission

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// BenchmarkAdmission measures one scheduling decision with a full queue: one
// execution ends, the next one starts, and a new request is queued.
func BenchmarkAdmission(b *testing.B) {
	for _, waiting := range []int{100, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			unlimited := [bands]time.Duration{1e6 * time.Hour, 1e6 * time.Hour, 1e6 * time.Hour}
			c := New(Config{MaxWaiting: waiting * 2, MaxExpectedDelay: unlimited, MaxQueueTime: 1e6 * time.Hour},
				rand.New(rand.NewSource(1)))
			ids := make([]message.ExecutionID, waiting*2+200)
			for i := range ids {
				ids[i] = id(fmt.Sprint(i))
			}
			callers := make([]string, 100)
			for i := range callers {
				callers[i] = fmt.Sprint("team", i)
			}
			next := 0
			var active []message.ExecutionID
			trackStarts := func(actions []Action) {
				for _, a := range actions {
					if a.Kind == Start {
						active = append(active, a.ID)
					}
				}
			}
			add := func(now time.Duration) {
				x := ids[next%len(ids)]
				trackStarts(c.Enqueue(now, Request{
					ID: x, Caller: callers[next%100], Class: "plan", PromptTokens: 100, MaxTokens: 4000,
				}))
				next++
			}
			for i := 0; i < waiting; i++ {
				add(0)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Millisecond
				x := active[0]
				active = active[1:]
				trackStarts(c.TokensGenerated(now, x, 1))
				trackStarts(c.TokensGenerated(now, x, 500))
				trackStarts(c.Finished(now, x))
				add(now)
			}
		})
	}
}
