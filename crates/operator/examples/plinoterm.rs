//! The services of Plinoterm Najem d.o.o.

use hawthornhill_operator::{Declaration, ServiceDeclaration};
use types::{DocumentError, TeamDocument};

/// Returns the team's document.
pub fn declare() -> Result<TeamDocument, DocumentError> {
    Declaration::new("plinoterm")
        .service(ServiceDeclaration::new("zaloga", 0).timeout_ms(1_000).hedge_percent(5))
        .service(
            ServiceDeclaration::new("najem", 1).timeout_ms(5_000).never_repeat("*", "/rentals"),
        )
        .service(ServiceDeclaration::new("izpisek", 8).timeout_ms(30_000).probes_per_minute(6))
        .build()
}

#[allow(dead_code)]
fn main() -> Result<(), DocumentError> {
    print!("{}", declare()?.to_json());
    Ok(())
}
