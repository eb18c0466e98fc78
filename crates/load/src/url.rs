//! Addresses of logical units: `iscsi://ADDRESS:PORT/TARGET/LUN`, the URL syntax of libiscsi.

use std::net::SocketAddr;
use std::str::FromStr;

/// The address of a logical unit of an iSCSI target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LunUrl {
    /// Address and port of the portal.
    pub address: SocketAddr,
    /// iSCSI name of the target.
    pub target: String,
    /// Logical unit number.
    pub lun: u16,
}

/// A text that is not the URL of a logical unit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid unit URL `{0}`, expected iscsi://ADDRESS:PORT/TARGET/LUN: {1}")]
pub struct UrlError(String, &'static str);

impl FromStr for LunUrl {
    type Err = UrlError;

    fn from_str(text: &str) -> Result<Self, UrlError> {
        let error = |problem| UrlError(text.to_owned(), problem);
        let rest = text.strip_prefix("iscsi://").ok_or(error("it does not begin with iscsi://"))?;
        let mut parts = rest.splitn(3, '/');
        let portal = parts.next().unwrap_or("");
        let address = match portal.parse::<SocketAddr>() {
            Ok(address) => address,
            // 3260 is the default port of iSCSI (RFC 7143).
            Err(_) => format!("{portal}:3260")
                .parse()
                .map_err(|_| error("the portal must be an IP address, with or without a port"))?,
        };
        let target = parts
            .next()
            .filter(|t| !t.is_empty() && t.len() <= 223)
            .ok_or(error("the target name is missing or longer than 223 bytes"))?;
        let lun = parts.next().ok_or(error("the unit number is missing"))?;
        let lun =
            lun.parse().ok().filter(|l| *l < 16_384).ok_or(error("the unit number must be below 16384"))?;
        Ok(LunUrl { address, target: target.to_owned(), lun })
    }
}

impl std::fmt::Display for LunUrl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "iscsi://{}/{}/{}", self.address, self.target, self.lun)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn valid_urls_are_parsed_and_errors_name_the_invalid_part() {
        let url: LunUrl = "iscsi://127.0.0.1/iqn.2026-12.org.pearfork:demo/0".parse().unwrap();
        assert_eq!((url.address.port(), url.lun), (3260, 0));
        assert_eq!(url.to_string(), "iscsi://127.0.0.1:3260/iqn.2026-12.org.pearfork:demo/0");
        assert_eq!("iscsi://[::1]:9/t/7".parse::<LunUrl>().unwrap().lun, 7);
        for (text, problem) in [
            ("http://127.0.0.1/t/0", "iscsi://"),
            ("iscsi://somewhere/t/0", "must be an IP address"),
            ("iscsi://127.0.0.1", "the target name is missing"),
            ("iscsi://127.0.0.1/t", "the unit number is missing"),
            ("iscsi://127.0.0.1/t/16384", "below 16384"),
            ("iscsi://127.0.0.1/t/0/1", "below 16384"),
        ] {
            let error = text.parse::<LunUrl>().unwrap_err().to_string();
            assert!(error.contains(problem), "{error}");
        }
    }
}
