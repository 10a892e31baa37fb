package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"buckthornridge/bubble"
)

// partCase is a fleet and a disturbance beside parts of prompts that crash engines.
type partCase struct {
	name     string
	engines  int
	position int // of the deadly part
	path     string
	deadly   []string
	changes  func(e *partEnv) map[time.Duration]func()
}

var partCases = []partCase{
	{"the second part", 12, 1, "/once/", []string{"d1"}, nil},
	{"the first part", 12, 0, "/resume/", []string{"d1"}, nil},
	{"two third parts", 12, 2, "/resume/", []string{"d1", "d2"}, nil},
	{"a small service that crashes whole", 3, 1, "/resume/", []string{"d1"}, nil},
	{"other engines crash beside", 12, 1, "/once/", []string{"d1"}, func(e *partEnv) map[time.Duration]func() {
		rack := func() { e.each(0, 4, e.crashAndRestart) }
		return map[time.Duration]func(){6 * time.Second: rack, 9 * time.Second: rack, 12 * time.Second: rack}
	}},
	{"VMs start and VMs are out of touch", 12, 1, "/resume/", []string{"d1"}, func(e *partEnv) map[time.Duration]func() {
		return map[time.Duration]func(){
			4500 * time.Millisecond: func() { e.partition(3, true) },
			8 * time.Second:         func() { e.killVM(0); e.killVM(1) },
			8100 * time.Millisecond: func() { e.startVM(0); e.startVM(1) },
			10 * time.Second:        func() { e.partition(3, false) },
		}
	}},
}

// Guards against a part of prompts that crashes each engine which begins an answer on it, in requests of which no two are
// alike (BUDGET), and against refusing the sound requests that share its key or its first part (LOST).
func TestPartThatCrashesEnginesIsHeldBack(t *testing.T) {
	for _, c := range partCases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				const seed = 1
				e := newPartEnv(t, seed, c.engines, c.position, c.path, c.deadly...)
				var changes map[time.Duration]func()
				if c.changes != nil {
					changes = c.changes(e)
				}
				e.play(seed, changes)
				e.judge()
			})
		})
	}
}

// Guards against the same under faults in series and overlapping: VMs that die and are out of touch, a table that is
// away, engines that crash for other causes, alone, together and all at once.
func TestPartsThatCrashEnginesUnderRandomFaults(t *testing.T) {
	first := seedCount(t, "PART_FIRST", 0)
	for i := range seedCount(t, "PART_SEEDS", 2) {
		seed := uint64(first + i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 60))
				deadly := []string{"d1", "d2", "d3"}[:1+random.IntN(3)]
				path := []string{"/once/", "/resume/"}[random.IntN(2)]
				e := newPartEnv(t, seed, []int{3, 6, 12}[random.IntN(3)], random.IntN(3), path, deadly...)
				e.othersOnly = true
				e.play(seed, e.randomPartFaults(random))
				e.judge()
			})
		})
	}
}

// randomPartFaults returns three series of faults.
func (e *partEnv) randomPartFaults(random *rand.Rand) changePlan {
	plan := changePlan{}
	engines := len(e.engines)
	for range 3 {
		for at := crashFrom; at < crashUntil; at += time.Second + time.Duration(random.Int64N(int64(3*time.Second))) {
			vm, n, down := random.IntN(versionVMs), 1+random.IntN(engines), time.Duration(random.Int64N(int64(2*time.Second)))
			switch random.IntN(5) {
			case 0:
				plan.add(at, func() { e.killVM(vm) })
				plan.add(at+down, func() { e.startVM(vm) })
			case 1:
				plan.add(at, func() { e.partition(vm, true) })
				plan.add(at+down, func() { e.partition(vm, false) })
			case 2:
				plan.add(at, func() { e.setTable(false) })
				plan.add(at+down, func() { e.setTable(true) })
			case 3:
				plan.add(at, func() { e.each(0, n, e.crashAndRestart) })
			default:
				plan.add(at, func() { e.each(n-1, n, e.crashAndRestart) })
			}
		}
	}
	return plan
}
