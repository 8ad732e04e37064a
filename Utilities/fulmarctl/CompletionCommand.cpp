#include <Utilities/fulmarctl/CompletionCommand.h>

#include <Utilities/fulmarctl/CommandTable.h>

#include <set>

namespace FulmarCtl {

ExitCode printCompletion(CommandContext& context)
{
    std::set<std::string> firstWords;
    std::string secondWords;
    for (const auto& command : allCommands()) {
        auto space = command.words.find(' ');
        firstWords.insert(std::string(command.words.substr(0, space)));
        if (space != std::string_view::npos)
            secondWords += " " + std::string(command.words.substr(space + 1));
    }

    context.out << "_fulmarctl()\n{\n    local current=\"${COMP_WORDS[COMP_CWORD]}\" previous=\"${COMP_WORDS[COMP_CWORD-1]}\"\n    case \"$previous\" in\n"
                << "    profile) COMPREPLY=($(compgen -W \"" << secondWords.substr(1) << "\" -- \"$current\")) ;;\n"
                << "    explain) COMPREPLY=($(compgen -W \"backend request service\" -- \"$current\")) ;;\n"
                << "    --output) COMPREPLY=($(compgen -W \"table json\" -- \"$current\")) ;;\n    *) COMPREPLY=($(compgen -f -W \"";
    for (const auto& word : firstWords)
        context.out << word << " ";
    context.out << "--config --output --author --wait --base --service --json --in-force --process --settings --node-file --help --version\" -- \"$current\")) ;;\n    esac\n}\ncomplete -F _fulmarctl fulmarctl\n";
    return ExitCode::Done;
}

}
