package admin

import (
	"context"
	"sync"
	"time"

	"buckthornridge/store"
)

// Limits for querying the processes of the fleet.
const (
	maxConcurrentQueries = 16
	queryTimeout         = time.Second
)

// Roles of routers and control processes in the VM list.
const (
	roleRouter  = "router"
	roleControl = "control"
)

// ControlID returns the id under which the control process of a VM announces
// itself. It differs from the VM's id because two processes with the same id would
// each mark the other as gone.
func ControlID(vm string) string { return vm + "/control" }

func (s *Server) status(c call) (any, error) {
	head, err := s.Store.Head(c.Context())
	if err != nil {
		return nil, err
	}
	reply := StatusReply{Accepted: head.Version, InForce: s.Watcher.State().Version}
	if !c.caller.fleet {
		return reply, nil
	}
	vms, asOf, err := s.listProcesses(c.Context())
	if err != nil {
		return nil, err
	}
	reply.AsOf = asOf
	reply.Processes = queryProcesses(c.Context(), vms, func(ctx context.Context, vm store.VM, status *ProcessStatus) error {
		head, err := s.Processes.ConfigFetcher(vm.PeerAddress).Head(ctx)
		status.Version = head.Version
		return err
	})
	return reply, nil
}

// listProcesses returns the routers and control processes that may still run.
func (s *Server) listProcesses(ctx context.Context) ([]store.VM, time.Time, error) {
	vms, asOf, err := s.VMs.List(ctx)
	var processes []store.VM
	for _, vm := range vms {
		if vm.State != store.VMGone && (vm.Role == roleRouter || vm.Role == roleControl) {
			processes = append(processes, vm)
		}
	}
	return processes, asOf, err
}

// queryProcesses runs a query against processes, a limited number at a time, and
// returns the results in the order of vms.
func queryProcesses(ctx context.Context, vms []store.VM, query func(context.Context, store.VM, *ProcessStatus) error) []ProcessStatus {
	replies := make([]ProcessStatus, len(vms))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, vm := range vms {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			reply := ProcessStatus{VM: vm.ID, Incarnation: vm.Incarnation, Role: vm.Role,
				DataCentre: vm.DataCentre, State: string(vm.State)}
			if err := query(ctx, vm, &reply); err != nil {
				reply.Error = err.Error()
			}
			replies[i] = reply
		})
	}
	wg.Wait()
	return replies
}

func (s *Server) drain(c call) (any, error) {
	if !c.caller.fleet {
		return nil, newProblem(ProblemForbidden, "only teams with fleet may drain VMs")
	}
	name := c.PathValue("vm")
	vms, _, err := s.listProcesses(c.Context())
	if err != nil {
		return nil, err
	}
	var processes []store.VM
	for _, vm := range vms {
		if vm.ID == name || vm.ID == ControlID(name) {
			processes = append(processes, vm)
		}
	}
	if len(processes) == 0 {
		return nil, newProblem(ProblemNotFound, "no process on a VM "+name+" is listed")
	}
	return withAudit(c.Context(), s, c.newAuditRecord(ActionDrain, name, "planned stop"), func(ctx context.Context) (DrainReply, error) {
		return DrainReply{Processes: queryProcesses(ctx, processes, func(ctx context.Context, vm store.VM, _ *ProcessStatus) error {
			return s.Processes.Drain(ctx, vm.PeerAddress)
		})}, nil
	})
}
