package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["7"] = playCrash }

const (
	crashRounds  = 4
	crashPieces  = 60 // of each stream, 50 ms apart
	crashClients = 40 // of each round
	crashDown    = 2 * time.Second
)

// playCrash has clients receive streams and other answers while one server of four crashes, and
// starts again two seconds later, four times.
func playCrash(e *env) error {
	storeAddress, err := e.startStore()
	if err != nil {
		return err
	}
	if err := e.configure(standardConfig()); err != nil {
		return err
	}
	start := func(i int) (*process, error) {
		return e.startServer(i, fmt.Sprintf("llm-%d", i), "llm", storeAddress, "-slots", "128", "-gap", "50ms")
	}
	var servers []*process
	for i := range 4 {
		p, err := start(i)
		if err != nil {
			return err
		}
		servers = append(servers, p)
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := e.startEdges(2, storeAddress, 284); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	for round := range crashRounds {
		var clients sync.WaitGroup
		for n := range crashClients {
			path := []string{"/stream/once/", "/stream/resume/"}[n%2]
			clients.Go(func() { e.checkAnswer(n/2%2, path, fmt.Sprintf("round-%d-stream-%d", round, n), crashPieces) })
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(700 * time.Millisecond)
		if i := round % len(servers); e.trouble {
			e.log("llm-%d crashes", i)
			servers[i].signal(syscall.SIGKILL)
			<-servers[i].ended
			time.Sleep(crashDown)
			if servers[i], err = start(i); err != nil {
				return err
			}
		}
		clients.Wait()
		time.Sleep(time.Second)
	}
	return nil
}
