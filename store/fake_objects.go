package store

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// fakeObjects is the object store as used by one VM.
type fakeObjects struct{ *caller }

func (o fakeObjects) Put(ctx context.Context, name string, data []byte) error {
	r := request{Call: Call{Step: StepPut, Keys: []string{name}}, write: true}
	if err := CheckObject(name, data); err != nil {
		return r.wrap(err)
	}
	data = bytes.Clone(data)
	r.effect = func() error { return o.fake.putObject(name, data) }
	return o.do(ctx, r)
}

func (f *Fake) putObject(name string, data []byte) error {
	if have, taken := f.objects[name]; taken && !bytes.Equal(have, data) {
		return eris.Wrapf(ErrConditionFailed, "object %q exists with different data", name)
	}
	f.objects[name] = data
	return nil
}

func (o fakeObjects) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	r := request{Call: Call{Step: StepGet, Keys: []string{name}}}
	if err := CheckObject(name, nil); err != nil {
		return nil, r.wrap(err)
	}
	r.effect = func() error {
		have, present := o.fake.objects[name]
		if !present {
			return eris.Wrapf(ErrNotFound, "object %q", name)
		}
		data = have
		return nil
	}
	if err := o.do(ctx, r); err != nil {
		return nil, err
	}
	return append([]byte{}, data...), nil
}

func (o fakeObjects) List(ctx context.Context, prefix string) ([]string, error) {
	names := []string{}
	r := request{Call: Call{Step: StepObjects, Keys: []string{prefix}}}
	if err := CheckPrefix(prefix); err != nil {
		return nil, r.wrap(err)
	}
	r.effect = func() error {
		for name := range maps.Keys(o.fake.objects) {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return nil
	}
	if err := o.do(ctx, r); err != nil {
		return nil, err
	}
	return names, nil
}

func (o fakeObjects) Delete(ctx context.Context, name string) error {
	r := request{Call: Call{Step: StepDelete, Keys: []string{name}}, write: true}
	if err := CheckObject(name, nil); err != nil {
		return r.wrap(err)
	}
	r.effect = func() error {
		delete(o.fake.objects, name)
		return nil
	}
	return o.do(ctx, r)
}

// fakeWeights is the weight store as used by one VM.
type fakeWeights struct{ *caller }

func (w fakeWeights) Weights(ctx context.Context) ([]Weight, int64, error) {
	r := request{Call: Call{Step: StepWeights}, effect: func() error { return nil }}
	if err := w.do(ctx, r); err != nil {
		return nil, 0, err
	}
	return append([]Weight{}, w.fake.options.Weights...), w.fake.options.WeightBytesPerSecond, nil
}
