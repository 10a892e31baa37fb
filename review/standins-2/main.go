// Command standins-2 holds the stand-ins of the second review's scripts: the platform's store,
// servers, clients, and the cases that put them together with real entry processes.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 server ... | case NAME")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "server":
		fmt.Fprintln(os.Stderr, serverMain(os.Args[2:])) // it returns with an error only
		os.Exit(2)
	case "case":
		os.Exit(runCase(os.Args[2]))
	default:
		fmt.Fprintln(os.Stderr, "unknown command", os.Args[1])
		os.Exit(2)
	}
}
