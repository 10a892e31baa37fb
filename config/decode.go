package config

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"
)

// updateDocument applies delta to doc; next is the image after delta. Only changed
// entries are decoded and only changed sections are copied, so that a change is cheap
// also with 6,100 workspaces.
func updateDocument(doc Document, next Image, delta Delta) (Document, error) {
	keys := make([]EntryKey, len(delta.Changes))
	for i, change := range delta.Changes {
		keys[i] = change.EntryKey
	}
	return decodeEntries(doc, next, keys)
}

// decodeEntries returns doc with the entries of keys replaced by those of image. It
// does not modify the maps of doc, because requests may be reading them.
func decodeEntries(doc Document, image Image, keys []EntryKey) (Document, error) {
	copied := map[Section]bool{}
	for _, key := range keys {
		copySection := !copied[key.Section]
		copied[key.Section] = true
		if err := decodeEntry(&doc, key, image.entries[key], copySection); err != nil {
			return Document{}, eris.Wrapf(err, "decode %s", key)
		}
	}
	return doc, nil
}

func decodeEntry(doc *Document, key EntryKey, text json.RawMessage, copySection bool) error {
	switch key.Section {
	case SectionFleet:
		return decodeSingle(&doc.Fleet, text)
	case SectionPolicy:
		return decodeSingle(&doc.Policy, text)
	case SectionModels:
		return decodeNamed(&doc.Models, key.Name, text, copySection)
	case SectionKinds:
		return decodeNamed(&doc.Kinds, key.Name, text, copySection)
	case SectionUpstreams:
		return decodeNamed(&doc.Upstreams, key.Name, text, copySection)
	case SectionServices:
		return decodeNamed(&doc.Services, key.Name, text, copySection)
	case SectionTeams:
		return decodeNamed(&doc.Teams, key.Name, text, copySection)
	case SectionWorkspaces:
		return decodeNamed(&doc.Workspaces, key.Name, text, copySection)
	}
	return nil // section of a newer release
}

func decodeSingle[V any](into *V, text json.RawMessage) error {
	var value V
	if len(text) > 0 {
		if err := json.Unmarshal(text, &value); err != nil {
			return err
		}
	}
	*into = value
	return nil
}

func decodeNamed[V any](into *map[string]V, name string, text json.RawMessage, copySection bool) error {
	if copySection {
		section := make(map[string]V, len(*into)+1)
		maps.Copy(section, *into)
		*into = section
	}
	if len(text) == 0 {
		delete(*into, name)
		return nil
	}
	var value V
	if err := json.Unmarshal(text, &value); err != nil {
		return err
	}
	(*into)[name] = value
	return nil
}
