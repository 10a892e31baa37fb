package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"buckthornridge/admin"
	"buckthornridge/config"
	"buckthornridge/settings"
)

// folder is the argument that names a configuration folder.
type folder struct {
	Dir  string `arg:"positional,required" help:"the folder"`
	Team string `arg:"--team" help:"the folder holds only what is this team's"`
}

func (f folder) load() (*config.MergedFolder, error) {
	if f.Team != "" {
		return config.LoadTeamFolder(f.Dir, f.Team)
	}
	return config.LoadFolder(f.Dir)
}

// versionFile is the file in a folder that records the version on which the folder
// is based. It is hidden, so it is not merged as configuration.
const versionFile = ".buckthorn-version"

// readBase returns the version on which the folder is based; known is false if the
// folder records none.
func (f folder) readBase() (version config.Version, known bool, err error) {
	text, err := os.ReadFile(filepath.Join(f.Dir, versionFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, eris.Wrap(err, "read base version")
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	return config.Version(n), true, eris.Wrapf(err, "read %s", versionFile)
}

func (f folder) writeBase(version config.Version) error {
	text := strconv.FormatUint(uint64(version), 10) + "\n"
	err := os.WriteFile(filepath.Join(f.Dir, versionFile), []byte(text), 0o644)
	return eris.Wrap(err, "write base version")
}

type checkCommand struct{ folder }

func (c *checkCommand) run(_ context.Context, s commandEnv) error {
	merged, err := c.load()
	if err != nil {
		return err
	}
	s.printf("%d files, no errors\n", len(merged.Files))
	return nil
}

type diffCommand struct{ folder }

func (c *diffCommand) run(ctx context.Context, s commandEnv) error {
	merged, err := c.load()
	if err != nil {
		return err
	}
	accepted, err := s.client.Config(ctx, 0)
	if err != nil {
		return err
	}
	lines, err := diffDocuments(accepted.Document, merged.Document, c.Team)
	if err != nil {
		return err
	}
	s.printf("accepted: version %d\n", accepted.Version)
	for _, line := range lines {
		s.printf("%s\n", line)
	}
	if len(lines) == 0 {
		s.printf("no differences\n")
	}
	return nil
}

func diffDocuments(accepted, local config.Document, team string) ([]string, error) {
	if team != "" {
		accepted = config.Document{Workspaces: accepted.Workspaces, Teams: accepted.Teams}
		if local.Teams == nil {
			accepted.Teams = nil // the folder does not change the tokens
		}
	}
	before, err := config.NewImage(accepted)
	if err != nil {
		return nil, err
	}
	after, err := config.NewImage(local)
	if err != nil {
		return nil, err
	}
	return config.Diff(before, after).Describe(before), nil
}

type applyCommand struct {
	folder
	Base *uint64 `arg:"--base" help:"the accepted version that the folder is based on; else what the last apply of this folder left in it"`
	ID   string  `arg:"--id" help:"id of this apply; give that of an earlier one to learn what became of it"`
}

func (c *applyCommand) run(ctx context.Context, s commandEnv) error {
	merged, err := c.load()
	if err != nil {
		return err
	}
	base, err := c.chooseBase(ctx, s)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	reply, err := s.client.Apply(ctx, base, c.ID, merged.Root.JSON())
	var p *admin.Problem
	if errors.As(err, &p) && p.Name() == admin.ProblemConflict {
		return eris.Errorf("%s\nMerge these changes into the folder, then apply with --base %d.", p.Error(), p.Head)
	}
	if err != nil {
		return eris.Wrapf(err, "apply %s; if the outcome is unknown, apply again with --base %d --id %s", c.ID, base, c.ID)
	}
	s.printf("version %d\n", reply.Version)
	return c.writeBase(reply.Version)
}

// chooseBase returns the base version from the command line or the folder. It never
// defaults to the accepted version: the folder may lack changes of others, and
// applying it would silently revert them.
func (c *applyCommand) chooseBase(ctx context.Context, s commandEnv) (config.Version, error) {
	if c.Base != nil {
		return config.Version(*c.Base), nil
	}
	base, known, err := c.readBase()
	if err != nil || known {
		return base, err
	}
	status, err := s.client.Status(ctx)
	var p *admin.Problem
	if errors.As(err, &p) && p.Name() == admin.ProblemNotReady {
		return 0, nil // the first configuration, with the bootstrap token
	}
	if err != nil || status.Accepted == 0 {
		return 0, err
	}
	return 0, eris.Errorf("version %d is accepted, and the folder does not record its base version: "+
		"look at diff, then apply with --base %d", status.Accepted, status.Accepted)
}

type showCommand struct {
	Dir     string `arg:"positional" help:"a folder; else the accepted configuration is shown"`
	Team    string `arg:"--team" help:"the folder holds only what is this team's"`
	Version uint64 `arg:"--version-number" help:"an accepted version; the present one if not given"`
}

func (c *showCommand) run(ctx context.Context, s commandEnv) error {
	if c.Dir == "" {
		reply, err := s.client.Config(ctx, config.Version(c.Version))
		if err != nil {
			return err
		}
		return s.printJSON(reply)
	}
	merged, err := folder{Dir: c.Dir, Team: c.Team}.load()
	if err != nil {
		return err
	}
	printNode(s, "", merged.Root)
	return nil
}

// printNode prints one line for each value: its path, the value and the place in the
// folder where it is set.
func printNode(s commandEnv, parentPath string, n *settings.Node) {
	if n.Kind != settings.Object || len(n.Members) == 0 {
		s.printf("%s = %s\t# %s\n", parentPath, n.JSON(), n.At)
		return
	}
	for _, member := range n.Members {
		path := member.Name
		if parentPath != "" {
			path = parentPath + "." + member.Name
		}
		printNode(s, path, member.Value)
	}
}
