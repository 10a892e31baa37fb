package httpclient

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
	"buckthornridge/store/wire"
)

type objects struct{ *Client }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	e := objectExchange(store.StepPut, http.MethodPut, name)
	e.body = data
	if err := store.CheckObject(name, data); err != nil {
		return o.invalidRequest(e, err)
	}
	_, err := call(ctx, o.Client, e, checkDone)
	return err
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	e := objectExchange(store.StepGet, http.MethodGet, name)
	e.maxResponse = store.MaxObjectBytes
	if err := store.CheckObject(name, nil); err != nil {
		return nil, o.invalidRequest(e, err)
	}
	return o.do(ctx, e)
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	e := get(store.StepObjects, wire.PathObjects+"?"+url.Values{"prefix": {prefix}}.Encode())
	if err := store.CheckPrefix(prefix); err != nil {
		return nil, o.invalidRequest(e, err)
	}
	response, err := call(ctx, o.Client, e, func(a wire.ObjectsResponse) error {
		return checkPresent(a.Names != nil)
	})
	if err != nil {
		return nil, err
	}
	return response.Names, nil
}

func (o objects) Delete(ctx context.Context, name string) error {
	e := objectExchange(store.StepDelete, http.MethodDelete, name)
	if err := store.CheckObject(name, nil); err != nil {
		return o.invalidRequest(e, err)
	}
	_, err := call(ctx, o.Client, e, checkDone)
	return err
}

func objectExchange(step store.Step, method, name string) exchange {
	path := wire.PathObjects + "/" + url.PathEscape(name)
	return exchange{step: step, write: method != http.MethodGet, method: method, path: path, maxResponse: wire.MaxResponseBytes}
}

type vmList struct{ *Client }

func (v vmList) List(ctx context.Context) ([]store.VM, time.Time, error) {
	response, err := call(ctx, v.Client, get(store.StepVMs, wire.PathVMs), checkVMs)
	if err != nil {
		return nil, time.Time{}, err
	}
	return response.VMs, response.AsOf, nil
}

// checkVMs rejects a response without the list, which would otherwise be read as an
// empty list with no VM left.
func checkVMs(a wire.VMsResponse) error {
	for _, vm := range a.VMs {
		if err := store.CheckVM(vm); err != nil {
			return err
		}
	}
	return checkPresent(a.VMs != nil)
}

func (v vmList) Announce(ctx context.Context, vm store.VM) error {
	e := post(store.StepAnnounce, wire.PathVMs, vm)
	e.write = true
	if err := store.CheckVM(vm); err != nil {
		return v.invalidRequest(e, err)
	}
	_, err := call(ctx, v.Client, e, checkDone)
	return err
}

type weights struct{ *Client }

func (w weights) Weights(ctx context.Context) ([]store.Weight, int64, error) {
	response, err := call(ctx, w.Client, get(store.StepWeights, wire.PathWeights), func(a wire.WeightsResponse) error {
		return checkPresent(a.Weights != nil)
	})
	if err != nil {
		return nil, 0, err
	}
	return response.Weights, response.BytesPerSecond, nil
}

func checkDone(a wire.DoneResponse) error { return checkPresent(a.Done) }

func checkPresent(present bool) error {
	if !present {
		return eris.New("response lacks a required field")
	}
	return nil
}
