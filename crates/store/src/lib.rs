//! Runtime of the store role: drives the replicated log and applies it to the ledger.

mod calls;
mod error;
mod event;
mod followers;
mod formation;
mod leadership;
mod membership;
mod peers;
mod runtime;
mod settings;
mod status;
mod store;
mod writer;

pub use self::{
    error::StoreError,
    settings::{InitialMember, StoreSettings},
    status::StoreStatus,
    store::Store,
};
