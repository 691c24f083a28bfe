package wire

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against calls that a server runs while it shuts down and whose replies it can't send.
func TestShutdownRunsNoCallWithoutAReply(t *testing.T) {
	for range 5 {
		s, service := serve(t, "127.0.0.1:0")
		answered, stop := atomic.Int32{}, make(chan struct{})
		var begun, ended sync.WaitGroup
		for range 20 {
			c := NewClient(s.listener.Addr().String(), nil)
			if err := call(c, 0, 10*time.Second); err != nil {
				t.Fatal(err)
			}
			answered.Add(1)
			begun.Add(1)
			ended.Go(func() {
				defer c.Close()
				begun.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
					}
					if call(c, 0, 10*time.Second) == nil {
						answered.Add(1)
					}
				}
			})
		}
		begun.Wait()
		time.Sleep(20 * time.Millisecond)
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		close(stop)
		ended.Wait()
		if run := service.started.Load(); run != answered.Load() {
			t.Errorf("%d calls run, %d answered", run, answered.Load())
		}
	}
}
