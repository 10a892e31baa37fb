package allowance

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Row keys. Pools and usage summaries are in the segment that every VM follows; reports,
// which are written far more often, in one that no VM follows. The key part after the
// prefix spreads holders and pools over partitions.
const (
	segment        = "budgets"
	poolPrefix     = segment + "/pool-"
	summaryPrefix  = segment + "/at-"
	reportSegment  = "reports"
	reportPrefix   = reportSegment + "/use-"
	fallbackPrefix = reportSegment + "/spare-"
	// legacyReportPrefix is where the previous release kept its reports. What a process
	// of that release left must be counted, or its tokens would be spent twice.
	legacyReportPrefix = segment + "/use-"
)

// poolPartitions is how many partitions the pools are spread over, since the platform
// serializes the transactions of one partition.
const poolPartitions = 16

// pool is the row of one budget, in tokens. When it is written,
//
//	Settled + Lost + Withheld + the sum of all Granted <= the prepaid limit
type pool struct {
	// Settled was consumed by holders that have ended.
	Settled int64 `msgpack:"s"`
	// Lost may have been consumed by ended holders beyond Settled.
	Lost    int64            `msgpack:"l"`
	Holders map[string]share `msgpack:"h"`
	// Base is the version of the row of an earlier era that this one was taken over from; see
	// era.go.
	Base int64 `msgpack:"b,omitempty"`
	// Merged are the holders that have added what they knew of the eras before.
	Merged []string `msgpack:"m,omitempty"`
	// Vouched says that one of them had lived in an earlier era.
	Vouched bool `msgpack:"v,omitempty"`
	// Withheld was free in the older copy and may have been granted since.
	Withheld int64 `msgpack:"w,omitempty"`
	// Heard says that all VMs were heard in the era of the row.
	Heard bool `msgpack:"a,omitempty"`
}

// share is one holder's part of a budget.
type share struct {
	// Granted is the sum of all that the holder may consume during its life.
	Granted int64 `msgpack:"g"`
	// Settled is what it had consumed when it last wrote the pool.
	Settled int64 `msgpack:"s"`
	// Since is the era in which the holder started.
	Since int64 `msgpack:"e,omitempty"`
}

// committed is what may have been consumed or is granted to holders.
func (p pool) committed() int64 {
	sum := p.Settled + p.Lost + p.Withheld
	for _, s := range p.Holders {
		sum += s.Granted
	}
	return sum
}

func (p pool) clone() pool {
	copied := p
	copied.Holders = make(map[string]share, len(p.Holders)+1)
	for holder, s := range p.Holders {
		copied.Holders[holder] = s
	}
	return copied
}

// report is the row in which a holder says what it may have consumed.
type report struct {
	// AsOf is a time that the table service's clock had certainly reached when the report
	// was made.
	AsOf time.Duration `msgpack:"t"`
	// Curve says how the bounds grow. It is stored since the next process may run another
	// release and must count what this one allowed itself.
	Curve   growthCurve            `msgpack:"k"`
	Budgets map[string]reportEntry `msgpack:"b"`
	// Closed says that the holder has stopped and consumes nothing more: the numbers are
	// final.
	Closed bool `msgpack:"c,omitempty"`
	// Era is that of the table when the report was made.
	Era int64 `msgpack:"e,omitempty"`
	// Void says that a fallback report is no longer in force.
	Void bool `msgpack:"v,omitempty"`
}

// reportEntry is one budget in a report, in tokens.
type reportEntry struct {
	Settled int64 `msgpack:"s"`
	// Open is the sum of the ceilings of running requests. After a death it attributes
	// losses to their causes; it does not count towards the bound.
	Open int64 `msgpack:"o"`
	// Base is what may be consumed at AsOf, Rate what is added each second.
	Base int64 `msgpack:"b"`
	Rate int64 `msgpack:"r"`
	// Rest is what becomes usable between the ramp start and the end of the ramp.
	Rest int64 `msgpack:"x"`
	// Demand is the recent demand of callers in tokens a second, refused requests
	// included.
	Demand int64 `msgpack:"d"`
}

// Report interval and growth of bounds.
const (
	// reportInterval is the time between two reports of an active holder in a fleet of up
	// to reportVMs. Beyond that it grows with the fleet, since each report is a call.
	reportInterval = 150 * time.Millisecond
	reportVMs      = 40
	// restartTime is how long a process takes from a power loss to its next start.
	restartTime = 1200 * time.Millisecond
	// rampDuration is the time after the ramp start in which isolatedShare of the unspent
	// grant becomes usable.
	rampDuration = 5 * time.Second
	// After the ramp start a bound grows by isolatedFactor times the recent demand and by
	// isolatedShare of the unspent grant: a VM that dies after a long disconnection loses
	// everything that it was allowed and did not use.
	isolatedFactor = 1.2
	isolatedShare  = 0.3
)

// growthCurve says how bounds grow with the age of their report: by their rate, and from
// RampStart on also by demand and by a share of the unspent grant.
type growthCurve struct {
	RampStart    time.Duration `msgpack:"k"`
	RampDuration time.Duration `msgpack:"r"`
	// Factor multiplies the demand, Share the unspent grant.
	Factor float64 `msgpack:"f"`
	Share  float64 `msgpack:"s"`
}

// currentCurve is the growth curve of this release. The ramp starts when a process that
// lost power has usually started again, since what is allowed by then is lost.
func currentCurve(vms int) growthCurve {
	return growthCurve{
		RampStart: restartTime + reportEvery(vms), RampDuration: rampDuration, Factor: isolatedFactor, Share: isolatedShare,
	}
}

// legacyCurve is the curve of reports from the release that did not store it. Counting
// such a report by a curve that grows less would let its tokens be spent twice.
var legacyCurve = growthCurve{RampStart: 1700 * time.Millisecond, RampDuration: 5 * time.Second, Factor: 1.2, Share: 0.3}

// reportEvery is the time between two reports of an active holder in a fleet.
func reportEvery(vms int) time.Duration {
	return reportInterval * time.Duration(max(vms, reportVMs)) / reportVMs
}

// allows returns the most that may have been consumed the given time after AsOf.
func (e reportEntry) allows(after time.Duration, c growthCurve) int64 {
	after = max(after, 0)
	allowed := e.Base + int64(float64(e.Rate)*after.Seconds())
	if sinceRampStart := after - c.RampStart; sinceRampStart > 0 {
		ramp := min(1, float64(sinceRampStart)/float64(c.RampDuration))
		byUse := c.Factor*float64(e.Demand)*sinceRampStart.Seconds() + c.Share*ramp*float64(e.Rest)
		allowed += int64(min(byUse, ramp*float64(e.Rest)))
	}
	return allowed
}

// splitLosses attributes the tokens that a dead holder may have consumed beyond what it
// had settled.
func (e reportEntry) splitLosses(settled, used int64) Losses {
	var lost Losses
	left := max(0, used-settled)
	lost.Running = min(left, e.Open)
	left -= lost.Running
	lost.Headroom = min(left, max(0, e.Base-e.Settled-e.Open))
	lost.Growth = left - lost.Headroom
	return lost
}

// poolKey returns the key of a budget's row in a table that tells no era.
func poolKey(budget string) string {
	return poolPartitionPrefix(partitionOf(budget)) + budget
}

// partitionOf returns the number of the partition that holds a budget's pool.
func partitionOf(budget string) uint64 { return xxhash.Sum64String(budget) % poolPartitions }

// poolPartitionPrefix returns the key prefix of the pools in a partition.
func poolPartitionPrefix(partition uint64) string {
	return poolPrefix + strconv.FormatUint(partition, 10) + "/"
}

// budgetOf returns the budget that a pool's key names.
func budgetOf(key string) string {
	budget, _ := splitPoolKey(key)
	return budget
}

// reportKeyPrefix returns the key prefix of a VM's reports.
func reportKeyPrefix(vm string) string { return reportPrefix + vm + "/" }

// legacyReportKeyPrefix is reportKeyPrefix of the previous release.
func legacyReportKeyPrefix(vm string) string { return legacyReportPrefix + vm + "/" }

// summaryKeyPrefix returns the key prefix of the usage summaries of a VM's holders.
func summaryKeyPrefix(vm string) string {
	partition := xxhash.Sum64String(vm) % poolPartitions
	return summaryPrefix + strconv.FormatUint(partition, 10) + "/" + holderName(vm, "")
}

// summaryKey returns the key of a holder's usage summary.
func summaryKey(vm, incarnation string) string { return summaryKeyPrefix(vm) + incarnation }

// holderOfSummary returns the holder that the key of a usage summary names.
func holderOfSummary(key string) string { return lastKeyPart(key) }

// lastKeyPart returns the part of a key after its last slash.
func lastKeyPart(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// fallbackKeyPrefix returns the key prefix of a VM's fallback reports in one of
// fallbackPartitions partitions.
func fallbackKeyPrefix(vm string, partition int) string {
	return fallbackPrefix + strconv.Itoa(partition) + "-" + vm + "/"
}

// holderName names a process. The holders of one VM share the part before the '#'.
func holderName(vm, incarnation string) string { return vm + "#" + incarnation }

func holderVM(holder string) (vm, incarnation string) {
	vm, incarnation, _ = strings.Cut(holder, "#")
	return vm, incarnation
}

func encode(row any) ([]byte, error) {
	data, err := msgpack.Marshal(row)
	return data, eris.Wrap(err, "encode row")
}

// decodePool decodes a pool's row; a missing row is an empty pool.
func decodePool(data []byte) (pool, error) {
	p := pool{Holders: map[string]share{}}
	if len(data) == 0 {
		return p, nil
	}
	if err := msgpack.Unmarshal(data, &p); err != nil {
		return pool{}, eris.Wrap(err, "decode pool")
	}
	if p.Holders == nil {
		p.Holders = map[string]share{}
	}
	return p, nil
}

func decodeReport(data []byte) (report, error) {
	var r report
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return report{}, eris.Wrap(err, "decode report")
	}
	if r.Curve == (growthCurve{}) {
		r.Curve = legacyCurve
	}
	return r, nil
}

func decodeSummary(data []byte) (usageSummary, error) {
	var s usageSummary
	err := msgpack.Unmarshal(data, &s)
	return s, eris.Wrap(err, "decode usage summary")
}
