package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/pause"
	"buckthornridge/peer"
)

// Methods of the peer protocol.
const (
	methodGossip   = "membership.gossip"
	methodExchange = "membership.exchange"
)

// Parameters of the gossip.
const (
	fanOut       = 3 // peers per round
	urgentFanOut = 5 // peers per urgent message
	// urgentDelay is how long updates are collected, so that a burst of them goes
	// into one message.
	urgentDelay = 20 * time.Millisecond
	// jitter is the fraction of a period by which rounds vary, so that processes
	// started together do not send at the same time.
	jitter = 0.2
	// exchangeRounds is after how many rounds, on average, the full state is
	// compared with a peer, which recovers what messages missed. firstExchange is
	// the round of the first exchange: a new process reads the list before it.
	exchangeRounds = 30
	firstExchange  = 2
	checksPerPause = 5
	maxCalls       = 2 * (fanOut + urgentFanOut + 2)
)

// Gossip exchanges heartbeats and updates with peers. It does the I/O of a Tracker.
type Gossip struct {
	// Seeds are addresses of processes for an exchange while the tracker knows no
	// peer.
	Seeds   []string
	tracker *Tracker
	caller  peer.Caller
	slots   chan struct{} // holds a value for each call in progress
	tasks   sync.WaitGroup
}

// NewGossip returns the gossip of a tracker; Run starts it.
func NewGossip(t *Tracker, caller peer.Caller) *Gossip {
	return &Gossip{tracker: t, caller: caller, slots: make(chan struct{}, maxCalls)}
}

// Serve registers the methods that peers call.
func (g *Gossip) Serve(s *peer.Server) {
	for method, handler := range g.handlers() {
		s.Handle(method, handler)
	}
}

func (g *Gossip) handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodGossip: func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
			var m Message
			if err := decode(&m); err != nil {
				g.tracker.Counters.Malformed.Add(1)
				return nil, err
			}
			g.tracker.Receive(m)
			return nil, nil
		},
		methodExchange: func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
			var q ExchangeRequest
			if err := decode(&q); err != nil {
				g.tracker.Counters.Malformed.Add(1)
				return nil, err
			}
			return g.tracker.HandleExchange(q), nil
		},
	}
}

// Run gossips until the context ends and waits for its goroutines. It also runs
// the tracker's resume hooks.
func (g *Gossip) Run(ctx context.Context) {
	g.tasks.Go(func() { g.checkPauses(ctx) })
	g.tasks.Go(func() { g.runResumeHooks(ctx) })
	g.tasks.Go(func() { g.pushUrgent(ctx) })
	g.runRounds(ctx)
	g.tasks.Wait()
}

func (g *Gossip) runRounds(ctx context.Context) {
	period := g.tracker.options.Limits.Period
	next := firstExchange
	for round := 0; ; round++ {
		g.tracker.Tick()
		g.sendToNeighbours(ctx, fanOut, g.tracker.NextMessage(), g.call)
		if round == next {
			g.exchange(ctx)
			next += exchangeRounds/2 + rand.IntN(exchangeRounds)
		}
		g.exchangeWithSeed(ctx)
		spread := 1 + jitter*(2*rand.Float64()-1)
		if pause.For(ctx, time.Duration(spread*float64(period))) != nil {
			return
		}
	}
}

// pushUrgent sends updates and call failures soon after they are queued.
func (g *Gossip) pushUrgent(ctx context.Context) {
	for {
		select {
		case <-g.tracker.Urgent():
		case <-ctx.Done():
			return
		}
		if pause.For(ctx, urgentDelay) != nil {
			return
		}
		if m := g.tracker.UrgentMessage(); len(m.Updates)+len(m.CallFailures) > 0 {
			g.sendToNeighbours(ctx, urgentFanOut, m, g.push)
		}
	}
}

// checkPauses lets the tracker detect pauses of this process.
func (g *Gossip) checkPauses(ctx context.Context) {
	limit := g.tracker.options.Limits.PauseThreshold
	if limit == 0 {
		return
	}
	for pause.For(ctx, limit/checksPerPause) == nil {
		g.tracker.CheckPause()
	}
}

func (g *Gossip) runResumeHooks(ctx context.Context) {
	for {
		select {
		case <-g.tracker.resume:
			g.tracker.runResumeHooks()
		case <-ctx.Done():
			return
		}
	}
}

// sender sends a message to a peer by one method of the caller.
type sender func(ctx context.Context, address, method string, message any) error

// call sends a message and waits for the reply. A push would not show that a
// process hangs, since its socket buffers still accept the bytes.
func (g *Gossip) call(ctx context.Context, address, method string, message any) error {
	return g.caller.Call(ctx, address, method, message, nil)
}

func (g *Gossip) push(ctx context.Context, address, method string, message any) error {
	return g.caller.Push(ctx, address, method, message)
}

// sendToNeighbours sends a message to n neighbours. A peer that hangs must not
// delay the next round, so calls run concurrently, and none starts while maxCalls
// are in progress.
func (g *Gossip) sendToNeighbours(ctx context.Context, n int, m Message, send sender) {
	for _, member := range g.tracker.Neighbours(n) {
		g.startCall(ctx, member, func(ctx context.Context) error {
			return send(ctx, member.PeerAddress, methodGossip, m)
		})
	}
}

// exchange compares the full state with one neighbour.
func (g *Gossip) exchange(ctx context.Context) {
	for _, member := range g.tracker.Neighbours(1) {
		g.exchangeWith(ctx, member)
	}
}

// exchangeWithSeed makes an exchange with an address of the settings while no peer
// is known: the list of a new VM may be empty because the platform is unavailable.
func (g *Gossip) exchangeWithSeed(ctx context.Context) {
	if len(g.Seeds) > 0 && len(g.tracker.Neighbours(1)) == 0 {
		g.exchangeWith(ctx, Member{PeerAddress: g.Seeds[rand.IntN(len(g.Seeds))]})
	}
}

func (g *Gossip) exchangeWith(ctx context.Context, member Member) {
	g.startCall(ctx, member, func(ctx context.Context) error {
		var response ExchangeResponse
		err := g.caller.Call(ctx, member.PeerAddress, methodExchange, g.tracker.NewExchangeRequest(), &response)
		if err == nil {
			g.tracker.ApplyExchange(response)
		}
		return err
	})
}

// startCall runs one call to a member with a timeout of one period.
func (g *Gossip) startCall(ctx context.Context, member Member, call func(context.Context) error) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.tracker.Counters.Failed.Add(1)
		return
	}
	g.tasks.Go(func() {
		defer func() { <-g.slots }()
		limited, cancel := context.WithTimeout(ctx, g.tracker.options.Limits.Period)
		defer cancel()
		g.tracker.Counters.Sent.Add(1)
		if err := call(limited); err != nil && ctx.Err() == nil {
			g.handleFailure(member, err)
		}
	})
}

// handleFailure reports a failed call to the tracker, unless the member itself
// returned the error, which shows that it runs.
func (g *Gossip) handleFailure(member Member, err error) {
	g.tracker.Counters.Failed.Add(1)
	var remote *peer.RemoteError
	switch {
	case errors.As(err, &remote):
	case errors.Is(err, peer.ErrUnreachable), errors.Is(err, peer.ErrBroken):
		g.tracker.Suspect(member.ID, eris.Wrapf(err, "gossip %s", member.ID))
	default:
		g.tracker.ReportTimeout(member.ID)
	}
}
