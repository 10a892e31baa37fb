package run

import (
	"testing"

	"github.com/matryer/is"

	"buckthornridge/standin/node"
)

// Guards against an oracle that passes what the rules forbid, or counts what they allow.
func TestBeyondWhatUpstreamsSay(t *testing.T) {
	is := is.New(t)
	is.Equal(afterLeaving(node.SaysReport{LeavingAt: 1000, AfterLeaving: []int64{1000, 2900, 3000}}), 0)
	is.Equal(afterLeaving(node.SaysReport{LeavingAt: 1000, AfterLeaving: []int64{1000, 3001, 9000}}), 2)
	is.Equal(duringRest(node.SaysReport{RestMS: 3000, Rested: []int64{0, 100, 400, 3000}}, 1), 0)
	is.Equal(duringRest(node.SaysReport{RestMS: 3000, Rested: []int64{0, 600, 700, 800}}, 1), 0)
	is.Equal(duringRest(node.SaysReport{RestMS: 3000, Rested: []int64{0, 600, 700, 800, 2999}}, 1), 1)
	is.Equal(beyondRejections(node.SaysReport{LimitAt: 1, Rejections: 2, Rejected: []int64{10, 11, 12, 13}}), 0)
	is.Equal(beyondRejections(node.SaysReport{LimitAt: 1, Rejections: 2, Rejected: []int64{4000, 4500, 5000, 5500}}), 0)
	is.Equal(beyondRejections(node.SaysReport{LimitAt: 1, Rejections: 2, Rejected: []int64{10, 4000, 4500, 4999, 4999}}), 2)
}
