// Command standins runs the cases of the review: the users' store, servers and clients, as their
// pages describe them, around the project's own processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(e *env){"leaving": leaving, "limit": limit, "tworuns": twoRuns, "idle": idle, "spenttwice": spentTwice, "spoiled": spoiled, "slowed": slowed}

// maxSockets is how many descriptors a process has for sockets: of the 4,100 of a machine, 200 are
// reserved for files.
const maxSockets = 3900

// boundedMain runs a command in the place of this process, with the platform's bound on descriptors.
func boundedMain(command []string) {
	limit := syscall.Rlimit{Cur: maxSockets, Max: maxSockets}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		cannot(err)
	}
	cannot(syscall.Exec(command[0], command, os.Environ()))
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		serverMain(os.Args[2])
		return
	}
	if len(os.Args) == 4 && os.Args[1] == "bounded" {
		boundedMain(os.Args[2:])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(2)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		cannot(err)
	}
	e := newEnv(folder)
	time.AfterFunc(110*time.Second, func() { e.fail("it takes too long") })
	cases[os.Args[1]](e)
	e.note("the rule was broken %d times", len(e.broken))
	e.close()
	e.record.Close()
	fmt.Printf("broken: %d\n", len(e.broken))
	for i, text := range e.broken {
		if i < 5 {
			fmt.Println(text)
		}
	}
	if len(e.broken) > 0 {
		os.Exit(1)
	}
}
