package storetest

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/store"
)

var objectContracts = []contractTest{
	{"objects", objectsStored},
	{"objects are copied in and out", objectsCopied},
	{"names of objects", objectNames},
	{"malformed and oversized objects", malformedObjects},
	{"object writes are delayed or lost", objectFaults},
}

func objectsStored(t *testing.T, h Harness) {
	is := is.New(t)
	objects := h.As("a").Objects
	_, err := objects.Get(t.Context(), "o")
	expectError(t, err, store.ErrNotFound)
	is.NoErr(objects.Put(t.Context(), "o", []byte("1")))
	is.NoErr(objects.Put(t.Context(), "o", []byte("1")))
	expectError(t, objects.Put(t.Context(), "o", []byte("2")), store.ErrConditionFailed)
	data, err := h.As("b").Objects.Get(t.Context(), "o")
	is.NoErr(err)
	is.Equal(string(data), "1")
	is.NoErr(objects.Delete(t.Context(), "o"))
	is.NoErr(objects.Delete(t.Context(), "o"))
	_, err = objects.Get(t.Context(), "o")
	expectError(t, err, store.ErrNotFound)
}

func objectsCopied(t *testing.T, h Harness) {
	is := is.New(t)
	objects := h.As("a").Objects
	data := []byte("1")
	is.NoErr(objects.Put(t.Context(), "o", data))
	data[0] = '2'
	back, err := objects.Get(t.Context(), "o")
	is.NoErr(err)
	back[0] = '3'
	back, err = objects.Get(t.Context(), "o")
	is.NoErr(err)
	is.Equal(string(back), "1")
	is.NoErr(objects.Put(t.Context(), "empty", nil))
	back, err = objects.Get(t.Context(), "empty")
	is.NoErr(err)
	is.Equal(back, []byte{})
}

func objectNames(t *testing.T, h Harness) {
	is := is.New(t)
	objects := h.As("a").Objects
	names := []string{"a b", "a/%2F/c", "a/b/c", "a/é?x=1#y", "b/...", "b/1+1"}
	for _, name := range names {
		is.NoErr(objects.Put(t.Context(), name, []byte(name)))
		data, err := objects.Get(t.Context(), name)
		is.NoErr(err)
		is.Equal(string(data), name)
	}
	listed, err := objects.List(t.Context(), "")
	is.NoErr(err)
	is.Equal(listed, names)
	listed, err = objects.List(t.Context(), "b/1+")
	is.NoErr(err)
	is.Equal(listed, []string{"b/1+1"})
	listed, err = objects.List(t.Context(), "c")
	is.NoErr(err)
	is.Equal(listed, []string{})
	for _, name := range names {
		is.NoErr(objects.Delete(t.Context(), name))
	}
	listed, err = objects.List(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(listed), 0)
}

func malformedObjects(t *testing.T, h Harness) {
	objects := h.As("a").Objects
	for _, name := range []string{"", ".", "..", "../x", "/x", "x/", "x//y", "\xff"} {
		expectError(t, objects.Put(t.Context(), name, nil), store.ErrInvalid)
		_, err := objects.Get(t.Context(), name)
		expectError(t, err, store.ErrInvalid)
		expectError(t, objects.Delete(t.Context(), name), store.ErrInvalid)
	}
	_, err := objects.List(t.Context(), "\xff")
	expectError(t, err, store.ErrInvalid)
	expectError(t, objects.Put(t.Context(), strings.Repeat("n", store.MaxNameBytes+1), nil), store.ErrTooLarge)
	expectError(t, objects.Put(t.Context(), "o", make([]byte, store.MaxObjectBytes+1)), store.ErrTooLarge)
}

func objectFaults(t *testing.T, h Harness) {
	is := is.New(t)
	objects := h.As("a").Objects
	h.Fake.SetFaults(store.Faults{DelayNext: 1, LoseNext: 1})
	expectError(t, objects.Put(t.Context(), "late", nil), store.ErrOutcomeUnknown)
	expectError(t, objects.Put(t.Context(), "lost", nil), store.ErrOutcomeUnknown)
	names, err := objects.List(t.Context(), "")
	is.NoErr(err)
	is.Equal(names, []string{"lost"})
	h.Fake.ReleaseDelayed()
	names, err = objects.List(t.Context(), "")
	is.NoErr(err)
	is.Equal(names, []string{"late", "lost"})
}
