package bubble_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"buckthornridge/bubble"
)

// Guards against a crash of the race detector. Each goroutine's tickers are due while it
// sleeps, so the receives run the timers themselves, many at one virtual time.
func TestLateTickers(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	for range 5 {
		bubble.Test(t, func(*testing.T) {
			var receivers sync.WaitGroup
			for range 16 {
				receivers.Go(receiveLate)
			}
			receivers.Wait()
		})
	}
	if after := runtime.GOMAXPROCS(0); after != before {
		t.Errorf("%d processors after the bubbles, %d before", after, before)
	}
}

func receiveLate() {
	var tickers [64]*time.Ticker
	for i := range tickers {
		tickers[i] = time.NewTicker(time.Second)
		defer tickers[i].Stop()
	}
	for range 20 {
		time.Sleep(1500 * time.Millisecond)
		for _, ticker := range tickers {
			<-ticker.C
		}
	}
}

// Bubbles of parallel tests overlap; the last one to end gives the processors back.
func TestOverlappingBubbles(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	t.Run("parallel", func(t *testing.T) {
		for range 8 {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				bubble.Test(t, func(*testing.T) { receiveLate() })
			})
		}
	})
	if after := runtime.GOMAXPROCS(0); after != before {
		t.Errorf("%d processors after the bubbles, %d before", after, before)
	}
}
