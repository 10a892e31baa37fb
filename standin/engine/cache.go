package engine

import (
	"container/list"
	"slices"
)

// prefixCache records which prompt prefixes are cached, by block. It evicts the
// least recently used block. The first block of a prefix counts as used more
// recently than its last, so that a cached block's parents are always cached too.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	order    *list.List // of block, most recently used first
	log      *eventLog
}

// block is one cached block, identified by the hash of the prefix that ends with
// it.
type block struct {
	hash      uint64
	parent    uint64
	hasParent bool
	model     string
}

func newPrefixCache(capacity int, log *eventLog) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		blocks:   map[uint64]*list.Element{},
		order:    list.New(),
		log:      log,
	}
}

// lookup returns how many leading blocks of the chain are cached, and marks them
// as used.
func (c *prefixCache) lookup(chain []uint64) int {
	found := 0
	for found < len(chain) && c.blocks[chain[found]] != nil {
		found++
	}
	c.touch(chain[:found])
	return found
}

func (c *prefixCache) touch(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[chain[i]])
	}
}

// store adds a chain of blocks. If the chain exceeds the capacity, only its
// leading blocks are stored.
func (c *prefixCache) store(model string, chain []uint64) {
	chain = chain[:min(len(chain), c.capacity)]
	cached := c.lookup(chain)
	for i := cached; i < len(chain); i++ {
		c.makeRoom()
		b := block{hash: chain[i], model: model}
		if i > 0 {
			b.parent, b.hasParent = chain[i-1], true
		}
		c.blocks[b.hash] = c.order.PushFront(b)
		c.log.add(b.hash, true)
	}
	c.touch(chain)
}

func (c *prefixCache) makeRoom() {
	for c.order.Len() >= c.capacity {
		c.evict(c.order.Back())
	}
}

func (c *prefixCache) evict(e *list.Element) {
	b := c.order.Remove(e).(block)
	delete(c.blocks, b.hash)
	c.log.add(b.hash, false)
}

// evictModel evicts all blocks of a model that was unloaded.
func (c *prefixCache) evictModel(model string) {
	for e := c.order.Back(); e != nil; {
		previous := e.Prev()
		if e.Value.(block).model == model {
			c.evict(e)
		}
		e = previous
	}
}

// export returns the chain of blocks that ends with the given prefix hash, and
// its model.
func (c *prefixCache) export(prefix uint64) (model string, chain []uint64, found bool) {
	e := c.blocks[prefix]
	if e == nil {
		return "", nil, false
	}
	model = e.Value.(block).model
	for {
		b := e.Value.(block)
		chain = append(chain, b.hash)
		if !b.hasParent {
			break
		}
		e = c.blocks[b.parent]
	}
	slices.Reverse(chain)
	return model, chain, true
}
