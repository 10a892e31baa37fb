package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = playCrowded }

const (
	crowdedEdges   = 9 // as many as the sheet has
	crowdedClients = 52
)

// playCrowded has one server of four crash while one entry machine has as many requests under way
// at each as it has connections for.
func playCrowded(e *env) error {
	storeAddress, err := e.startStore()
	if err != nil {
		return err
	}
	if err := e.configure(standardConfig()); err != nil {
		return err
	}
	servers := map[string]*process{}
	for i, id := range []string{"app-1", "app-2", "app-3", "app-4"} {
		if servers[id], err = e.startServer(i, id, "app", storeAddress, "-slots", "6", "-queue", "24"); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := e.startEdges(crowdedEdges, storeAddress, 284); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // the machines know of each other
	var clients sync.WaitGroup
	for n := range crowdedClients {
		clients.Go(func() { e.checkAnswer(0, "/status/", fmt.Sprintf("status-%d", n), 30) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(1200 * time.Millisecond)
	if e.trouble {
		e.log("app-1 crashes")
		servers["app-1"].signal(syscall.SIGKILL)
	}
	clients.Wait()
	return nil
}
