package run

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"buckthornridge/loadtool/report"
)

// usage is the cumulative resource use of a process according to /proc.
type usage struct {
	pid      string
	cpuTicks int64 // processor time
	ioBytes  int64 // read and written, including sockets and files
	rssKB    int64
}

// Units of /proc on Linux. Clock ticks are always 1/100 s in user space.
const (
	ticksPerSecond = 100
	kibi           = 1024
	percent        = 100
)

// Indexes of the fields of /proc/PID/stat after the program name, from 0.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// readUsage reads the usage of the process whose ID is in pidFile; ok is false if
// it can't be read.
func readUsage(pidFile string) (u usage, ok bool) {
	text, err := os.ReadFile(pidFile)
	if err != nil {
		return u, false
	}
	u.pid = strings.TrimSpace(string(text))
	dir := filepath.Join("/proc", u.pid)
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, false
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) <= statSystemTicks {
		return u, false
	}
	u.cpuTicks = parseCount(fields[statUserTicks]) + parseCount(fields[statSystemTicks])
	io := readCounts(filepath.Join(dir, "io"))
	u.ioBytes = io["rchar"] + io["wchar"]
	u.rssKB = readCounts(filepath.Join(dir, "status"))["VmRSS"]
	return u, true
}

func parseCount(text string) int64 {
	value, _ := strconv.ParseInt(text, 10, 64) // 0 if text is not a number
	return value
}

// readCounts parses a file of lines "Name: number".
func readCounts(path string) map[string]int64 {
	text, _ := os.ReadFile(path) // an unreadable file yields no values
	values := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		if fields := strings.Fields(rest); len(fields) > 0 {
			values[name] = parseCount(fields[0])
		}
	}
	return values
}

// measureControls computes the resource use of the control processes between two
// readings. A process that was restarted in between is omitted, because the second
// reading belongs to a different process.
func measureControls(vms []VM, before, after map[string]usage, span time.Duration) []report.Control {
	all := []report.Control{}
	for _, vm := range vms {
		a, knownBefore := before[vm.ID]
		b, knownAfter := after[vm.ID]
		if !knownBefore || !knownAfter || a.pid != b.pid {
			continue
		}
		all = append(all, report.Control{
			Process:    vm.ID + "/control",
			CPUCorePct: percent * float64(b.cpuTicks-a.cpuTicks) / ticksPerSecond / span.Seconds(),
			RSSMB:      float64(b.rssKB) / kibi,
			KBPerS:     float64(b.ioBytes-a.ioBytes) / kibi / span.Seconds(),
		})
	}
	return all
}

func readUsages(vms []VM) map[string]usage {
	all := map[string]usage{}
	for _, vm := range vms {
		if u, ok := readUsage(vm.ControlPID); ok && vm.ControlPID != "" {
			all[vm.ID] = u
		}
	}
	return all
}
