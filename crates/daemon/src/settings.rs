//! Settings: the configuration that the platform writes, its message classes, and the operator's own file.

pub mod active;
pub mod check;
pub mod classes;
pub mod config;
pub mod copied_class;
pub mod descriptors;
pub mod operator;
