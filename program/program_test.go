package program

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type plain struct {
	Name string `json:"name"`
}

type checked struct {
	Name string `json:"name"`
}

func (c *checked) Validate() error {
	if c.Name == "" {
		return errors.New("name is missing")
	}
	return nil
}

// Wrong settings are told with their place; what is wrong with them as a whole
// with the file.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.jsonc")
	for _, c := range []struct {
		text string
		into any
		want string
	}{
		{`{"name": "a"} // fine`, &plain{}, ""},
		{`{"name": "a"}`, &checked{}, ""},
		{`{"nam": "a"}`, &plain{}, `x.jsonc:1:2: unknown key "nam"`},
		{`{"name": 7}`, &plain{}, "x.jsonc:1:10"},
		{`{}`, &checked{}, "x.jsonc: name is missing"},
	} {
		is := is.New(t)
		is.NoErr(os.WriteFile(path, []byte(c.text), 0o600))
		err := load(path, c.into)
		is.Equal(err == nil, c.want == "") // what is right is taken
		if err != nil {
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: want %q", err, c.want)
			}
		}
	}
	is.New(t).True(load(path+"x", &plain{}) != nil) // no such file
}
