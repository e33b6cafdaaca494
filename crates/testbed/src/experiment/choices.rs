//! Fields of an experiment whose value is one of a few names. The file's types keep them as
//! strings, so that the check can report all problems at once; the rest of the code uses these
//! enums.

/// Declares an enum whose variants have names in the experiment file; the first variant is the
/// default.
macro_rules! choices {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_doc])* $variant),+
        }

        impl $name {
            /// All variants, the default first.
            pub const ALL: &[$name] = &[$($name::$variant),+];

            /// The name in the experiment file.
            pub fn name(self) -> &'static str {
                match self {
                    $($name::$variant => $text),+
                }
            }

            /// The variant with this name, if there is one.
            pub fn from_name(name: &str) -> Option<$name> {
                $name::ALL.iter().copied().find(|choice| choice.name() == name)
            }

            /// The names in the form that error messages use: `"a", "b" or "c"`.
            pub(super) fn quoted_names() -> String {
                let names: Vec<String> =
                    $name::ALL.iter().map(|choice| format!("\"{}\"", choice.name())).collect();
                match names.split_last() {
                    Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
                    _ => names.concat(),
                }
            }
        }
    };
}

choices! {
    /// What a server does on a cache miss.
    CacheMode {
        /// The server reports the miss, and the proxy sends the request to the origin.
        Aside = "aside",
        /// The server fetches the value from the origin itself.
        Through = "through",
    }
}

choices! {
    /// The source of the proxies' endpoint list.
    ListSource {
        /// The platform's discovery service.
        Platform = "platform",
        /// An etcd cluster.
        Etcd = "etcd",
        /// A file, one for each proxy.
        File = "file",
    }
}

choices! {
    /// The protocol between clients, proxies and servers.
    Protocol {
        /// HTTP/1.1.
        Http = "http",
        /// RESP, with the redirections of a cluster.
        Resp = "resp",
    }
}

choices! {
    /// Whether a request of a class may run more than once.
    Repeats {
        /// Any number of times.
        Replayable = "replayable",
        /// Only where servers drop repeats by the request's idempotency key.
        Tagged = "tagged",
        /// Never.
        SingleUse = "single-use",
    }
}

choices! {
    /// Which servers recognise repeats of each other's tagged requests.
    DedupGroup {
        /// All servers.
        All = "all",
        /// The servers of one zone.
        Zone = "zone",
        /// The servers of one cell.
        Cell = "cell",
    }
}
