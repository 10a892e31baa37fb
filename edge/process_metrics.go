package edge

import (
	"fmt"
	"io"

	"buckthornridge/routing"
)

// writeProcessMetrics writes the counters and gauges that are read at the time of the
// request.
func (p *Process) writeProcessMetrics(w io.Writer) {
	f := p.manager.Stats()
	counters := p.pool.Counters()
	fmt.Fprintf(w, "budget_granted_tokens %d\nbudget_settled_tokens %d\nbudget_open_tokens %d\nbudget_lost_tokens %d\n",
		f.Granted, f.Settled, f.Open, f.Lost)
	fmt.Fprintf(w, "budget_written_off_tokens_total{cause=\"running\"} %d\nbudget_written_off_tokens_total{cause=\"cover\"} %d\nbudget_written_off_tokens_total{cause=\"growth\"} %d\n",
		f.WrittenOff.Running, f.WrittenOff.Headroom, f.WrittenOff.Growth)
	fmt.Fprintf(w, "loans_borrowed_total %d\nloans_lent_total %d\nloans_open %d\n", f.Borrowed, f.Lent, f.OpenLoans)
	fmt.Fprintf(w, "connections_opened_total %d\nconnections_reused_total %d\nforeign_answers_total %d\nupstreams_unread_total %d\n",
		counters.Opened.Load(), counters.Reused.Load(), counters.Mismatched.Load(), p.fleet.unreadable.Load())
	fmt.Fprintf(w, "connections_identified_total %d\n", counters.Identified.Load())
	recorded, dropped := p.origins.records.Count()
	fmt.Fprintf(w, "stream_origins_count %d\nstream_origins_dropped_total %d\nstreams_taken_up_total{origin=\"known\"} %d\nstreams_taken_up_total{origin=\"unknown\"} %d\n",
		recorded, dropped, p.origins.found.Load(), p.origins.unknown.Load())
	crashes := p.guard.Counters()
	suspects, quarantined := p.guard.Table().Count()
	suspectParts, quarantinedParts := p.guard.Table().CountParts()
	fmt.Fprintf(w, "quarantine_part_refused_total %d\nquarantine_part_suspect_count %d\nquarantine_part_entry_count %d\n",
		crashes.RefusedForPart.Load(), suspectParts, quarantinedParts)
	fmt.Fprintf(w, "quarantine_crashes_total %d\nquarantine_refused_total %d\nquarantine_suspect_count %d\nquarantine_entry_count %d\n",
		crashes.Crashes.Load(), crashes.Refused.Load(), suspects, quarantined)
	fmt.Fprintf(w, "limited_upstreams_count %d\nlimited_rejections_total %d\n", p.fleet.limiter.Count(), p.fleet.rejections.Count())
	fmt.Fprintf(w, "rejection_limits_count %d\nborrowed_sends_total %d\nlent_sends_total %d\n", p.fleet.slotBounds.Named(), p.forward.borrowed.Load(), p.forwarded.lent.Load())
	asked, invalid := p.fleet.rests.Counts()
	fmt.Fprintf(w, "upstream_rests_total{result=\"kept\"} %d\nupstream_rests_total{result=\"ignored\"} %d\n", asked, invalid)
	fmt.Fprintf(w, "members_count %d\npaths_lost_count %d\nforwarded_sends_total %d\nforward_failed_total %d\nforwarded_for_peers_total %d\nforwarding_for_peers_count %d\n",
		p.peers.count(), len(p.paths.LostServices()), p.forward.sent.Load(), p.forward.failed.Load(), p.forwarded.total.Load(), p.forwarded.active.Load())
	n := p.notices
	if n == nil {
		n = &notices{} // without an address nothing was counted
	}
	fmt.Fprintf(w, "notices_sent_total %d\nnotices_received_total %d\nnotices_skipped_total %d\n",
		n.sent.Load(), n.received.Load(), n.skipped.Load())
	fmt.Fprintf(w, "processor_delay_seconds %g\noverload_refused_total %d\nbuffered_bytes_count %d\n", p.delay.Delay().Seconds(), p.delay.Refused.Load(), p.buffers.Kept())
	writeConnMetrics(w, p.callerConns.Counts())
	p.callerLink.writeMetrics(w)
	p.writePlacement(w)
	writeCounters(w, "table_calls_total", "call=%q", p.adapter.Traffic.CallCounts())
	writeTraffic(w, p.adapter.Traffic.Read(), p.gate.Open())
	if c := p.catalogue.Load(); c != nil {
		fmt.Fprintf(w, "configuration_version %d\n", c.Version)
	}
}

// writePlacement writes where paced streams gather and what engines fetched, over all services.
func (p *Process) writePlacement(w io.Writer) {
	c := p.catalogue.Load()
	if c == nil {
		return
	}
	var gathered int
	var fetched, late int64
	for name := range c.Services {
		target := routing.Target{Service: name}
		f, l := p.routes.FetchCounts(target)
		gathered, fetched, late = gathered+p.routes.Gathered(target), fetched+f, late+l
	}
	fmt.Fprintf(w, "gathered_engines_count %d\nfetches_total{result=\"in_time\"} %d\nfetches_total{result=\"late\"} %d\n", gathered, fetched-late, late)
}
