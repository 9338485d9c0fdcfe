//! Measurement of what control costs by size, and fits of the figures.

mod fit;
mod mesh;
mod parts;

pub use fit::{Fit, Shape, fit};
pub use mesh::{MeshCost, mesh_cost};
pub use parts::{PartCost, part_costs};
