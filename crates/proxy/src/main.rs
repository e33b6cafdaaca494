//! chalkwalk: a balancer for fleets of servers, on sockets. This program wires the engine, its doors and its sources of
//! the list together, and has the command line; nothing else is in it.

mod captures;
mod given;
mod inherited;
mod operators;
mod pages;
mod serve;
mod sources;

use chalkwalk_config as operator;
use chalkwalk_limits::RequestAttributes;
use given::Given;
use slog::{Drain, FnValue, Logger, PushFnValue, o};
use std::net::TcpListener;
use std::process::ExitCode;

const USAGE: &str = "\
usage: chalkwalk serve [--config FILE] [--operator FILE] [--log plain|json]    run one proxy in the foreground
       chalkwalk check [--config FILE] [--operator FILE]    read both and say what is wrong with them
       chalkwalk explain --operator FILE --namespace N [--route PATH] [--tenant T] [--door D] [--config FILE]
                                          which limits hold for a lookup, and which line said so
       chalkwalk capture info|replay FILE...    what captures hold; whether the same is decided again (1 if not)
       chalkwalk capture show --lookup N FILE...    all that concerns one lookup
       chalkwalk capture cut --call N --to OUT FILE...    the smallest capture that still shows a call
       chalkwalk version                  print the version

Without --config the file named by ROUTER_CONFIG is read. An operator's file is optional; deploy/operator.toml is one.";

/// Lines that wait to be written: beyond that they are dropped, and the log says how many.
const LOG_QUEUE: usize = 256;

type Args = pico_args::Arguments;

fn option(args: &mut Args, name: &'static str) -> Result<Option<String>, String> {
    args.opt_value_from_str(name).map_err(|e| e.to_string())
}

/// The files that the command line names.
fn given(args: &mut Args) -> Result<Given, String> {
    let config = match option(args, "--config")? {
        Some(path) => path,
        None => std::env::var("ROUTER_CONFIG")
            .map_err(|_| "no configuration: give --config FILE or set ROUTER_CONFIG".to_string())?,
    };
    Ok(Given { config, operator: option(args, "--operator")? })
}

fn no_more(args: Args) -> Result<(), String> {
    match args.finish().first() {
        Some(odd) => Err(format!("unknown argument {}", odd.to_string_lossy())),
        None => Ok(()),
    }
}

/// The log on standard error: plain, or a JSON object a line, whose fields docs/oncall.md names.
fn logger(name: &str, json: bool) -> (Logger, slog_async::AsyncGuard) {
    let lines: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = if json {
        let fields = o!(
            "event" => PushFnValue(|r, s| s.emit(r.msg())),
            "level" => FnValue(|r| r.level().as_short_str()),
            "at_ms" => FnValue(|_| {
                let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                unix.map_or(0, |unix| unix.as_millis() as u64)
            }),
        );
        Box::new(slog_json::Json::new(std::io::stderr()).add_key_value(fields).build().fuse())
    } else {
        let decorator = slog_term::PlainDecorator::new(std::io::stderr());
        Box::new(slog_term::FullFormat::new(decorator).build().fuse())
    };
    let (drain, guard) = slog_async::Async::new(lines)
        .chan_size(LOG_QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!("proxy" => name.to_string())), guard)
}

fn serve(mut args: Args) -> Result<(), String> {
    let given = given(&mut args)?;
    let json = match option(&mut args, "--log")?.as_deref() {
        None | Some("plain") => false,
        Some("json") => true,
        Some(other) => return Err(format!("--log {other}: there are plain and json")),
    };
    no_more(args)?;
    let read = given.read()?;
    let rules = &read.rules;
    // Before the system takes a connection for us: told to end from then on, what came on it is answered.
    let signals = serve::signals()?;
    let inherited = inherited::listener()?;
    let handed = inherited.is_some();
    let listener = match inherited {
        Some(listener) => listener,
        None => {
            TcpListener::bind(rules.listen).map_err(|e| format!("cannot listen on {}: {e}", rules.listen))?
        }
    };
    // The library's 128 are soon filled while all clients connect at once; one over waits for a second.
    let longer = socket2::SockRef::from(&listener).listen(1024);
    longer.map_err(|e| format!("cannot listen on {}: {e}", rules.listen))?;
    let (log, _flushed) = logger(&rules.engine.name, json);
    serve::run(given, read, log, signals, (listener, handed))
}

fn check(mut args: Args) -> Result<(), String> {
    let given = given(&mut args)?;
    no_more(args)?;
    let rules = given.read()?.rules;
    println!("{}: fine", rules.engine.name);
    Ok(())
}

fn explain(mut args: Args) -> Result<(), String> {
    let given = given(&mut args)?;
    let [route, namespace, tenant, door] = ["--route", "--namespace", "--tenant", "--door"]
        .map(|name| option(&mut args, name).map(Option::unwrap_or_default));
    let (route, namespace, tenant, door) = (route?, namespace?, tenant?, door?);
    no_more(args)?;
    let rules = given.read()?.rules;
    let place = rules.namespaces.iter().position(|n| *n == namespace);
    let place =
        place.ok_or(format!("no namespace \"{namespace}\"; there are {}", rules.namespaces.join(", ")))?;
    let table = rules
        .engine
        .limits
        .unwrap_or_else(|| chalkwalk_limits::LimitTable::from_settings(&rules.engine.platform_limits));
    let door = if door.is_empty() { chalkwalk_http_frontend::FRONTEND_NAME } else { &door };
    print!(
        "{}",
        operator::explain(
            &table,
            RequestAttributes { namespace: place, path: &route, tenant: &tenant, frontend: door }
        )
    );
    Ok(())
}

fn capture(mut args: Args) -> ExitCode {
    let said = (|| {
        let what = args.subcommand().map_err(|e| e.to_string())?.unwrap_or_default();
        let request: Option<u64> = args.opt_value_from_str("--lookup").map_err(|e| e.to_string())?;
        let call: Option<u64> = args.opt_value_from_str("--call").map_err(|e| e.to_string())?;
        let to: Option<std::path::PathBuf> = args.opt_value_from_str("--to").map_err(|e| e.to_string())?;
        let files: Vec<std::path::PathBuf> = args.finish().into_iter().map(Into::into).collect();
        match (what.as_str(), request) {
            ("info", None) => captures::info(&files).map(|out| (out, true)),
            ("replay", None) => captures::again(&files),
            ("show", Some(request)) => captures::show(&files, request).map(|out| (out, true)),
            ("cut", None) => match (call, to) {
                (Some(call), Some(to)) => captures::cut_to(&files, call, &to).map(|out| (out, true)),
                _ => Err("capture cut takes --call N and --to FILE".into()),
            },
            _ => Err(format!("capture is info, replay, cut, or show --lookup N\n{USAGE}")),
        }
    })();
    match said {
        Ok((out, good)) => {
            print!("{out}");
            if good { ExitCode::SUCCESS } else { ExitCode::from(1) }
        }
        Err(fault) => {
            eprintln!("chalkwalk: {fault}");
            ExitCode::from(2)
        }
    }
}

fn main() -> ExitCode {
    let mut args = Args::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let said = match args.subcommand() {
        Ok(Some(word)) => match word.as_str() {
            "serve" => serve(args),
            "check" => check(args),
            "explain" => explain(args),
            "capture" => return capture(args),
            "version" => {
                println!("chalkwalk {}", env!("CARGO_PKG_VERSION"));
                Ok(())
            }
            other => Err(format!("unknown command {other}; chalkwalk --help lists them")),
        },
        Ok(None) => Err("no command; chalkwalk --help lists them".into()),
        Err(e) => Err(e.to_string()),
    };
    match said {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("chalkwalk: {fault}");
            ExitCode::from(2)
        }
    }
}
