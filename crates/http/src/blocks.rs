//! Blocks of equal size in which bodies are received.
//!
//! Each server reuses its blocks. Bodies of all lengths from the allocator would leave gaps in the heap of each
//! thread, which multiplies the memory of the process beyond what is reserved.

use {
    crate::budget::Budget,
    bytes::Bytes,
    std::{
        mem::take,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Size of a block in bytes. Most bodies of ordinary clients fit into one.
pub(crate) const BLOCK_BYTES: usize = 16 << 10;

/// Blocks of a server that are not in use.
#[derive(Default)]
pub(crate) struct FreeBlocks(Mutex<Vec<Vec<u8>>>);

impl FreeBlocks {
    fn take(&self) -> Vec<u8> {
        let block = self.0.lock().unwrap_or_else(PoisonError::into_inner).pop();
        block.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    /// Takes blocks back, and keeps at most `most` of them.
    fn put(&self, blocks: Vec<Vec<u8>>, most: usize) {
        let mut free = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let room = most.saturating_sub(free.len());
        free.extend(blocks.into_iter().take(room).map(|mut block| {
            block.clear();
            block
        }));
    }
}

/// A body that is being received.
pub(crate) struct Blocks {
    blocks: Vec<Vec<u8>>,
    budget: Arc<Budget>,
    length: usize,
}

impl Blocks {
    pub(crate) fn new(budget: Arc<Budget>) -> Self {
        Self {
            blocks: Vec::new(),
            budget,
            length: 0,
        }
    }

    /// Length of the body so far in bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn push(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() == BLOCK_BYTES) {
                self.blocks.push(self.budget.free_blocks.take());
            }
            if let Some(block) = self.blocks.last_mut() {
                let (now, later) = data.split_at(data.len().min(BLOCK_BYTES - block.len()));
                block.extend_from_slice(now);
                data = later;
            }
        }
    }

    /// Copies the body into one piece and gives the blocks back.
    pub(crate) fn concat(self) -> Bytes {
        Bytes::from(self.blocks.concat())
    }
}

impl Drop for Blocks {
    fn drop(&mut self) {
        let most = self.budget.limits.max_held_bytes / 2 / BLOCK_BYTES;
        self.budget.free_blocks.put(take(&mut self.blocks), most);
    }
}
