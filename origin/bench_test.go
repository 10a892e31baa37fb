package origin

import (
	"fmt"
	"testing"
)

// BenchmarkReplicas chooses the routers with the copies of one record among 340.
func BenchmarkReplicas(b *testing.B) {
	var members []Member
	for i := range 340 {
		members = append(members, Member{Name: fmt.Sprint("edge-colombo-a-", i), DataCentre: fmt.Sprint("d", i%7)})
	}
	for b.Loop() {
		Replicas("studio/9c41d07be2a35f68", "vm-1", members, Copies)
	}
}
