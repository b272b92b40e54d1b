Feature: answers are checked in full and generate one configuration

  Scenario Outline: <what> is refused with path, value and remedy
    When the questionnaire's "<path>" is <value>
    Then the questionnaire's errors hold "<text>"

    Examples:
      | what                        | path                                  | value              | text                                                          |
      | an unknown key              | customers/0/prioritty                 | 3                  | customers/0/prioritty: is not a known key; did you mean 'priority'? |
      | a number as text            | customers/0/burst                     | "ten"              | customers/0/burst: 'ten' is not a number                      |
      | a truth value as a number   | customers/0/burst                     | true               | customers/0/burst: True is not a number                       |
      | a negative limit            | customers/0/requests_per_second       | -1                 | requests_per_second: -1 is not allowed; give a number from 0  |
      | an infinite limit           | customers/0/requests_per_second       | Infinity           | inf is not finite                                             |
      | a deadline of zero          | jobs/0/deadline_ms                    | 0                  | jobs/0/deadline_ms: 0 is not allowed; give a number above 0 to 600000 ms |
      | a deadline beyond reason    | jobs/0/deadline_ms                    | 600001             | give a number above 0 to 600000 ms                            |
      | a weight above one          | attainment_against_cost               | 1.5                | attainment_against_cost: 1.5 is not allowed; give a number from 0 to 1 |
      | a token in place of a hash  | customers/0/token_hashes              | ["secret-token"]   | [0] a text of 12 is not allowed; give the SHA-256             |
      | a text in place of a list   | customers/0/token_hashes              | "abc"              | 'abc' is not a list                                           |
      | an address without a port   | pools/0/backend_servers/0/address     | "10.0.0.1"         | give an address as host:port                                  |
      | a port out of range         | pools/0/backend_servers/0/address     | "10.0.0.1:70000"   | the port from 1 to 65535                                      |
      | a name with a slash         | pools/0/name                          | "a/b"              | 'a/b' is not allowed; give 1 to 63 letters                    |
      | an unknown choice           | when_cut_off                          | "stop"             | 'stop' is not allowed; give one of serve, refuse_bookings, refuse_all |
      | a pool without replicas     | pools/0/backend_servers               | []                 | has 0 entries; give at least 1                                |
      | an unknown pool             | jobs/0/stages/0/pool                  | "encoder"          | no pool is named 'encoder'; did you mean 'encoders'?          |
      | an unknown model            | jobs/0/stages/3/model                 | "phasing-sumary"   | did you mean 'phasing-summary'?                               |
      | a booking as a stage        | jobs/0/stages/0/pool                  | "hire-bookings"    | may not be repeated, but stages are                           |
      | a booking called repeatable | services/0/must_never_happen_twice    | false              | may not be repeated; say true                                 |
      | a name given twice          | customers/1/name                      | "road-crews"       | customers: two have the name 'road-crews'                     |
      | a shared address            | pools/0/backend_servers/1/address     | "10.21.11.11:8000" | two have the address 10.21.11.11:8000                         |
      | a shared token              | customers/1/token_hashes              | ["d9563184e5c828ee6657aa59ab2e197afdf0b2ddae0bcee8bbd93ff14aa4d2c4"] | two share the token hash d9563184... |

  Scenario: every error is reported at once
    When a questionnaire has a missing key, a wrong type and a bad range
    Then the questionnaire's errors are 3, each with its path

  Scenario: stages that usually take longer than their deadline are warned of
    When the questionnaire's "jobs/0/deadline_ms" is 1000
    Then the questionnaire has no errors and warns "over its deadline of 1000 ms"

  Scenario Outline: the example of <name> is good and has what its site has
    Then the example "<name>" has 3 data centres, <models> model replicas and 4 services of 3 replicas
    And the example "<name>" has 5 customers and weighs attainment <weight> cost
    And the settings of its 6 entry hosts are good

    Examples:
      | name    | models | weight    |
      | derwent | 10     | more than |
      | tokachi | 5      | less than |

  Scenario: generation is the same as the generator written twice
    Then 60 random questionnaires generate what the naive generator does
    And their configurations survive being split into parts and joined
    And answers made from a configuration generate it again

  Scenario: the order of the answers changes nothing
    Then shuffled answers generate the same objects

  Scenario: the difference of two configurations is readable
    When a limit, a replica, a stage and a token change in the example
    Then the difference has a line for each and shows no hash

  Scenario Outline: settings with <what> are refused
    When the settings' "<path>" is <value>
    Then the settings' errors hold "<text>"

    Examples:
      | what                   | path              | value       | text                                   |
      | an unknown key         | data_center       | "kitami"    | did you mean 'data_centre'?            |
      | a port out of range    | port              | 70000       | give a number from 0 to 65535          |
      | a peer with no port    | peers/0/address   | "10.0.0.1"  | peers/0/address: '10.0.0.1' is not     |
      | a negative linger time | linger_ms         | -5          | give a number from 0 to 600000 ms      |
