package request

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"buckthornridge/membership"
)

// busyBudgetRouters is the maximum number of a region's routers over which the
// requests of a busy budget are spread.
const busyBudgetRouters = 4

// RoleRouter is the role of routers in the membership view.
const RoleRouter = "router"

// PreferredRouters ranks the routers of a region for a request by rendezvous
// hashing, the best first; suspected routers come after live ones. Requests of one
// budget go to one router, so that only that router needs a grant, and retries of
// one request reach the router that has its run. The ranking is an optimization:
// any router can run any request.
func PreferredRouters(v *membership.View, region string, r *Request, busy bool) []membership.Member {
	key := affinityKey(r, busy)
	type ranked struct {
		member membership.Member
		score  uint64
	}
	var all []ranked
	for _, m := range v.Members {
		if m.Role != RoleRouter || m.Region != region || m.State > membership.Suspected {
			continue
		}
		all = append(all, ranked{member: m, score: xxhash.Sum64String(key + "|" + m.ID)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.member.State, b.member.State),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.member.ID, b.member.ID),
		)
	})
	members := make([]membership.Member, len(all))
	for i, candidate := range all {
		members[i] = candidate.member
	}
	return members
}

func affinityKey(r *Request, busy bool) string {
	budget := r.BudgetID().String()
	if !busy {
		return budget
	}
	return fmt.Sprintf("%s#%d", budget, xxhash.Sum64String(r.Key.ID)%busyBudgetRouters)
}
