package config

import (
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"buckthornridge/settings"
)

// MergedFolder is the merged and checked content of the operators' folder, with the
// source position of each value.
type MergedFolder struct {
	Document Document
	// Root is the merged JSON. The At field of each node is the position of the
	// effective value, which `buckthornctl show` prints.
	Root *settings.Node
	// Files lists the files that were read, in merge order.
	Files []string
}

// Limits of a folder. A folder that exceeds them is rejected.
const (
	maxFileBytes   = 16 << 20
	maxFolderFiles = 10_000
)

// folderSuffixes are the extensions of configuration files.
var folderSuffixes = []string{".json", ".jsonc", ".hujson"}

// LoadFolder reads, merges and checks the folder dir.
//
// Files with the extension .json, .jsonc or .hujson are merged in the byte order of
// their names. Hidden files and other extensions are ignored, and sub-folders are
// rejected. Each file contains one object. A later file is merged as follows:
//
//   - An object is merged into an object key by key, recursively. Keys that the
//     later file does not set are kept.
//   - A list replaces the earlier value as a whole; lists are never concatenated.
//   - A string, number or boolean replaces the earlier value.
//   - A null deletes the key and everything below it. A null for a key that no
//     earlier file set is rejected, because it is most likely misspelt. A later
//     file may set the key again.
//   - An object replaces an earlier value of another type.
//
// The error is a settings.Errors with all errors in file:line:column form, or an
// error from reading the folder.
func LoadFolder(dir string) (*MergedFolder, error) { return LoadFS(os.DirFS(dir), dir) }

// LoadFS is like LoadFolder for any file system; dir is the prefix of file names in
// errors.
func LoadFS(fsys fs.FS, dir string) (*MergedFolder, error) {
	return load(fsys, dir, Check)
}

// LoadTeamFolder reads the folder of one team that shares the platform. It may
// contain only the team's workspaces and its own entry in teams. The administration
// API, which has the fleet's document, checks references to the rest of it.
func LoadTeamFolder(dir, team string) (*MergedFolder, error) {
	return loadTeamFS(os.DirFS(dir), dir, team)
}

func loadTeamFS(fsys fs.FS, dir, team string) (*MergedFolder, error) {
	return load(fsys, dir, func(doc Document, root *settings.Node) settings.Errors {
		return checkTeamScope(doc, root, team)
	})
}

func load(fsys fs.FS, dir string, check func(Document, *settings.Node) settings.Errors) (*MergedFolder, error) {
	merged, errs, err := mergeFS(fsys, dir)
	if err != nil {
		return nil, err
	}
	if len(errs) > 0 {
		return nil, errs
	}
	errs = settings.Bind(merged.Root, &merged.Document)
	errs = append(errs, check(merged.Document, merged.Root)...)
	if len(errs) > 0 {
		return nil, errs
	}
	return merged, nil
}

func mergeFS(fsys fs.FS, dir string) (*MergedFolder, settings.Errors, error) {
	names, errs, err := folderFiles(fsys, dir)
	if err != nil {
		return nil, nil, err
	}
	merged := &MergedFolder{Files: names}
	for _, name := range names {
		data, err := fs.ReadFile(fsys, name)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "read %s", path.Join(dir, name))
		}
		root, fileErrs := settings.Parse(path.Join(dir, name), data)
		errs = append(errs, fileErrs...)
		if root == nil {
			continue
		}
		if root.Kind != settings.Object {
			errs.Add(root.At, "want an object, found %s", root.Kind)
			continue
		}
		if merged.Root == nil {
			merged.Root = &settings.Node{At: root.At, Kind: settings.Object}
		}
		mergeObject(merged.Root, root, &errs)
	}
	return merged, errs, nil
}

func folderFiles(fsys fs.FS, dir string) ([]string, settings.Errors, error) {
	entries, err := fs.ReadDir(fsys, ".")
	if err != nil {
		return nil, nil, eris.Wrapf(err, "read folder %s", dir)
	}
	var names []string
	var errs settings.Errors
	for _, entry := range entries {
		name := entry.Name()
		at := settings.Position{File: path.Join(dir, name), Line: 1, Column: 1}
		switch {
		case strings.HasPrefix(name, "."):
		case entry.IsDir():
			errs.Add(at, "sub-folders are not supported; move the files to the top folder")
		case slices.Contains(folderSuffixes, path.Ext(name)):
			names = append(names, name)
			if info, err := entry.Info(); err == nil && info.Size() > maxFileBytes {
				errs.Add(at, "larger than %d bytes", maxFileBytes)
			}
		}
	}
	slices.Sort(names)
	at := settings.Position{File: dir, Line: 1, Column: 1}
	if len(names) == 0 {
		errs.Add(at, "no .json, .jsonc or .hujson file in the folder")
	}
	if len(names) > maxFolderFiles {
		errs.Add(at, "more than %d files", maxFolderFiles)
	}
	return names, errs, nil
}

// mergeObject merges from into into according to the rules of LoadFolder.
func mergeObject(into, from *settings.Node, errs *settings.Errors) {
	for _, member := range from.Members {
		old := into.Member(member.Name)
		switch {
		case member.Value.Kind == settings.Null && old == nil:
			errs.Add(member.At, "null deletes key %q, which no earlier file sets%s",
				member.Name, settings.Hint(member.Name, memberNames(into)))
		case member.Value.Kind == settings.Null:
			into.Members = slices.DeleteFunc(into.Members,
				func(m settings.Member) bool { return m.Name == member.Name })
		case member.Value.Kind == settings.Object:
			mergeObjectMember(into, old, member, errs)
		case old != nil:
			*old = member
		default:
			into.Members = append(into.Members, member)
		}
	}
}

// mergeObjectMember merges member, whose value is an object, into into. A new object
// is also merged by mergeObject, so that a null inside it is detected.
func mergeObjectMember(into *settings.Node, old *settings.Member, member settings.Member, errs *settings.Errors) {
	if old != nil && old.Value.Kind == settings.Object {
		mergeObject(old.Value, member.Value, errs)
		return
	}
	object := &settings.Node{At: member.Value.At, Kind: settings.Object}
	mergeObject(object, member.Value, errs)
	member.Value = object
	if old != nil {
		*old = member
		return
	}
	into.Members = append(into.Members, member)
}

func memberNames(n *settings.Node) []string {
	names := make([]string, len(n.Members))
	for i, member := range n.Members {
		names[i] = member.Name
	}
	return names
}
