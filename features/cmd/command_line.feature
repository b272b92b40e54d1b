Feature: the command line says in one line what is wrong and what to do

  Scenario Outline: <what> ends with one line that names the remedy
    When the command line is "<line>"
    Then it ends with exit code <code>
    And it prints one line on standard error that holds "<remedy>"

    Examples:
      | what                      | line                                   | code | remedy                     |
      | an unknown command        | bogus                                  | 2    | cactusdyke --help          |
      | a missing argument        | call summary                           | 2    | cactusdyke call --help     |
      | an unknown flag           | status --foo=1                         | 2    | cactusdyke status --help   |
      | a word too many           | status now                             | 2    | cactusdyke status --help   |
      | no address                | status                                 | 2    | --entry HOST:PORT          |
      | an address without a port | status --entry=localhost               | 2    | HOST:PORT                  |
      | an address that is silent | status --entry=127.0.0.1:1             | 1    | No connection              |
      | a settings file not there | settings check /nowhere/settings.json  | 2    | /nowhere/settings.json     |
      | a group without a command | questionnaire                          | 2    | questionnaire --help       |
      | an unknown event          | events CD1                             | 2    | cactusdyke events          |
      | neither file nor revision | submit --entry=127.0.0.1:1             | 2    | --from-revision            |
      | a token file not there    | status --entry=127.0.0.1:1 --token-file=/nowhere/token | 2 | readable file |

  Scenario: an event is explained by its number and by its name
    When the command line is "events CD1001 --json"
    Then it ends with exit code 0
    And it prints JSON in which "name" of the first row is "daemon_started"

  Scenario: help is printed and ends well
    When the command line is "submit --help"
    Then it ends with exit code 0
    And it prints "--base_revision"

  Scenario: the catalogue of events in the docs is the code's
    Then docs/events.md is what the code generates
    And no two events share a number

  Scenario: an operator and a caller work by the command line alone
    Given a fleet of 3 daemons as processes
    When the operator submits the answers and waits
    Then the command ends with exit code 0
    And the status shows every daemon with revision 1
    And the addresses name every daemon
    When a caller streams the pipeline by the command line
    Then the answer is the tokens that the engine generated
    And its trace shows a span for each hop
    And the cost shows every stage
    When a caller books by the command line twice with one key
    Then both answers are the same and the booking ran once
    When a caller with a wrong token calls the pipeline
    Then it ends with exit code 4
    And it prints one line on standard error that holds "bearer token"

  Scenario: the worked examples are good and generate the same each time
    When the command line is "questionnaire example tokachi"
    Then it ends with exit code 0
    And what it printed, kept as a file, passes the questionnaire check
    And generating from it twice gives the same configuration

  Scenario: every error in a questionnaire is named at once
    When a questionnaire with three errors is checked by the command line
    Then it ends with exit code 2
    And it prints a line for each of the three errors

  Scenario: a change is shown before it is made, and the history afterwards
    Given a fleet of 1 daemons as processes
    When the operator submits the answers and waits
    And the customer's limit is raised in the answers
    Then generate prints what would change at the deployment
    When the operator submits the answers and waits
    Then the history shows 2 revisions, the last with a new limit
    When the operator goes back to revision 1
    Then the command ends with exit code 0
    And the history shows 3 revisions, the last with a new limit
